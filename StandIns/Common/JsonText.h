#pragma once

#include <json/value.h>

#include <optional>
#include <string>

namespace verbenachute::standins {

/// Compact text of a JSON value.
[[nodiscard]] std::string
JsonText(const Json::Value& aValue);

/// Reads a JSON object; nothing if the text is anything else.
[[nodiscard]] std::optional<Json::Value>
ParseJsonObject(const std::string& aText);

} // namespace verbenachute::standins
