#pragma once

#include <LibCore/Error.h>
#include <LibCore/QueryRequest.h>

#include <string_view>

namespace verbenachute {

/// Reads the body of POST /v1/query as docs/INTERFACE.md describes it.
/// Malformed JSON, a field that is unknown, missing, of another type or out
/// of range is an InvalidInput error at the step Parse that names the field.
[[nodiscard]] Result<QueryRequest>
ParseQueryRequest(std::string_view aBody);

} // namespace verbenachute
