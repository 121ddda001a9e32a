#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpExchange.h>

#include <memory>

struct evhttp;

namespace verbenachute {

/// Limits of the requests that a server reads; evhttp itself answers larger
/// ones.
struct HttpLimits
{
  std::size_t mHeaderBytes = 8UL * 1024;
  std::size_t mBodyBytes = 256UL * 1024;
  /// A connection without traffic is closed after this time.
  seconds mIdleTimeout{ 60 };
};

/// An HTTP server on one address.
class HttpServer
{
public:
  using RequestArrivedSignal =
    sigc::signal<void(const std::shared_ptr<HttpExchange>&)>;

  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound.
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const HttpLimits& aLimits);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] RequestArrivedSignal& RequestArrived();

private:
  HttpServer() = default;
  void Handle(evhttp_request* aRaw);

  evhttp* mServer = nullptr;
  RequestArrivedSignal mRequestArrived;
};

} // namespace verbenachute
