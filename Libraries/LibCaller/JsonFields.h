#pragma once

#include <LibCore/Error.h>

#include <json/json.h>

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace verbenachute {

/// Reads the fields of one JSON object and keeps the first problem, so that
/// a parser can read all fields and check once at the end.
class JsonFields
{
public:
  explicit JsonFields(std::string_view aText);

  /// Makes every field that is not in the list a problem.
  void AllowOnly(std::span<const char* const> aNames);

  [[nodiscard]] bool Has(const char* aName) const;
  /// A string of 1 to aMaximumBytes bytes; empty after a problem.
  [[nodiscard]] std::string Text(const char* aName, std::size_t aMaximumBytes);
  /// A whole number within the bounds; aMinimum after a problem.
  [[nodiscard]] std::uint64_t Number(const char* aName,
                                     std::uint64_t aMinimum,
                                     std::uint64_t aMaximum);
  [[nodiscard]] bool Truth(const char* aName);

  [[nodiscard]] const std::optional<Error>& Problem() const;

private:
  [[nodiscard]] const Json::Value& Field(const char* aName) const;
  void Refuse(const std::string& aMessage);

  Json::Value mObject;
  std::optional<Error> mProblem;
};

} // namespace verbenachute
