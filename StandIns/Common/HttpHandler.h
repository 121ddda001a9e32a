#pragma once

#include <Common/HttpRequest.h>

namespace verbenachute::standins {

enum class Acceptance
{
  Accept,
  /// Close at once, before a byte is read.
  Close,
};

/// Receives what happens at an HttpServer.
class HttpHandler
{
public:
  virtual ~HttpHandler() = default;

  /// Asked for each new connection, with the number of those that are open.
  [[nodiscard]] virtual Acceptance ConnectionArrived(std::size_t aOpen)
  {
    static_cast<void>(aOpen);
    return Acceptance::Accept;
  }
  /// Answered by HttpServer::Reply, then or later.
  virtual void RequestReceived(const HttpRequest& aRequest) = 0;
};

} // namespace verbenachute::standins
