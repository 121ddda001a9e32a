#pragma once

#include <LibCore/Error.h>

#include <json/value.h>
#include <string>
#include <string_view>

namespace verbenachute {

/// Parses one JSON object or array. Trailing text, duplicate keys, comments and
/// deep nesting are InvalidInput errors, a text longer than aMaximumBytes is a
/// TooLarge error, both at step Parse.
[[nodiscard]] Result<Json::Value>
ParseJson(std::string_view aText, std::size_t aMaximumBytes);

/// Formats a value without white space and with keys in ascending order, so
/// that equal values give equal bytes.
[[nodiscard]] std::string
CompactJson(const Json::Value& aValue);

/// Formats a value with indentation, for display to operators.
[[nodiscard]] std::string
IndentedJson(const Json::Value& aValue);

} // namespace verbenachute
