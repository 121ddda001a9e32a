#pragma once

#include <LibConfiguration/OperatorRequest.h>

#include <map>
#include <string>
#include <string_view>

namespace verbenachute {

/// Strictly parses operators' requests. Fails at step Parse with InvalidInput
/// for unknown fields and parameters and wrong types, with TooLarge, or with
/// NotFound for an unknown path.
class OperatorRequestParser
{
public:
  /// Maximum size of the body of a change, in bytes.
  static constexpr std::size_t kChangeBytes = 262'144;
  static constexpr std::string_view kPathPrefix = "/v1/operator/";
  static constexpr std::string_view kChangePath = "/v1/operator/changes";
  static constexpr Duration kLongestWait = seconds(30);

  using Parameters = std::map<std::string, std::string>;

  /// Reads the body of POST /v1/operator/changes.
  [[nodiscard]] static Result<OperatorChange> ParseChange(
    std::string_view aBody);

  /// Reads a GET below /v1/operator/.
  [[nodiscard]] static Result<OperatorQuestion> ParseQuestion(
    std::string_view aPath,
    const Parameters& aParameters);
};

} // namespace verbenachute
