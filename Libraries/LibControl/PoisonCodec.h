#pragma once

#include <LibCore/Error.h>
#include <LibDispatch/PoisonReport.h>

#include <json/json.h>

namespace verbenachute {

/// JSON form of a report about a fingerprint. The reader gives InvalidInput
/// for anything that the writer does not write.
[[nodiscard]] Json::Value
WritePoisonReport(const PoisonReport& aReport);
[[nodiscard]] Result<PoisonReport>
ReadPoisonReport(const Json::Value& aValue);

} // namespace verbenachute
