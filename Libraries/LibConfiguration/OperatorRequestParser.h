#pragma once

#include <LibConfiguration/OperatorRequest.h>

#include <map>
#include <string>
#include <string_view>

namespace verbenachute {

/// Reads operators' requests strictly: unknown fields and parameters, wrong
/// types and oversize are InvalidInput or TooLarge at the step Parse, an
/// unknown path is NotFound.
class OperatorRequestParser
{
public:
  /// Largest body of a change, in bytes.
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
