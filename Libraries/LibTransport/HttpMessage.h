#pragma once

#include <LibCore/Error.h>

#include <map>
#include <string>

namespace verbenachute {

enum class HttpMethod
{
  Get,
  Post,
  Put,
  Delete,
};

/// A request that a server has received or a client sends.
struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::Get;
  /// Path with its leading slash. Decoded at a server; a client sends it as it
  /// is.
  std::string mPath;
  /// Decoded query parameters. A client encodes their values.
  std::map<std::string, std::string> mParameters;
  std::string mBody;
};

struct HttpReply
{
  int mStatus = 200;
  std::string mContentType = "application/json";
  std::string mBody;
};

} // namespace verbenachute
