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

/// A request as it arrived at a server or goes out from a client.
struct HttpRequest
{
  HttpMethod mMethod = HttpMethod::Get;
  /// Path with its leading slash, percent-decoded at a server.
  std::string mPath;
  /// Query parameters, decoded. A client encodes them.
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
