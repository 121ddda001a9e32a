#pragma once

#include <LibCore/Error.h>

#include <json/value.h>
#include <string>
#include <string_view>

namespace verbenachute {

/// Reads one JSON object or array. Trailing text, duplicate keys, comments
/// and deep nesting are InvalidInput, more than aLimit bytes is TooLarge,
/// both at the step Parse.
[[nodiscard]] Result<Json::Value>
ParseJson(std::string_view aText, std::size_t aLimit);

/// Writes without white space and with keys in ascending order, so that equal
/// values give equal bytes.
[[nodiscard]] std::string
CompactJson(const Json::Value& aValue);

/// Writes with indentation, for a person.
[[nodiscard]] std::string
IndentedJson(const Json::Value& aValue);

} // namespace verbenachute
