#pragma once

#include <LibCore/Strong.h>

#include <cstdint>
#include <map>
#include <string>

namespace verbenachute::standins {

/// Identity of a connection; never used twice in a process.
using ConnectionId = Strong<struct ConnectionIdTag, std::uint64_t>;

/// A whole request as it came over a connection.
struct HttpRequest
{
  ConnectionId mConnection;
  std::string mMethod;
  /// Path without the parameters, percent-decoded.
  std::string mPath;
  /// Parameters after the question mark, percent-decoded.
  std::map<std::string, std::string> mParameters;
  std::string mBody;

  /// A parameter as a number, or 0 if it is missing or no number.
  [[nodiscard]] std::uint64_t NumberOf(const std::string& aParameter) const;
};

} // namespace verbenachute::standins
