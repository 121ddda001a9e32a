#pragma once

#include <map>
#include <string>
#include <string_view>

namespace verbenachute {

/// Labels of one target or failure domain: value by key.
using LabelSet = std::map<std::string, std::string>;

/// Keys of the built-in labels of each target. Operators can match them in
/// selectors but not set them.
inline constexpr std::string_view kTargetKey = "target";
inline constexpr std::string_view kServiceKey = "service";
inline constexpr std::string_view kDomainKey = "domain";
inline constexpr std::string_view kRegionKey = "region";

/// Whether a label key is one of those that every target has.
[[nodiscard]] bool
IsBuiltInKey(std::string_view aKey);

} // namespace verbenachute
