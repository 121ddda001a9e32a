#pragma once

#include <LibRouting/Tenant.h>

#include <string_view>

namespace verbenachute {

/// The digest under which an API key is known.
[[nodiscard]] KeyHash
HashKey(std::string_view aKey);

/// Compares two digests in a time that does not depend on their contents.
[[nodiscard]] bool
EqualInConstantTime(const KeyHash& aOne, const KeyHash& aOther);

} // namespace verbenachute
