#pragma once

#include <LibCore/Identifiers.h>
#include <LibHttp/HttpExchange.h>
#include <LibHttp/HttpListener.h>
#include <LibTransport/EventLoop.h>

#include <memory>

namespace verbenachute {

/// Limits of the requests that a server reads; larger ones are refused before
/// they are passed on.
struct HttpLimits
{
  std::size_t mHeaderBytes = 8UL * 1024;
  std::size_t mBodyBytes = 256UL * 1024;
  /// A connection without traffic is closed after this time.
  seconds mIdleTimeout{ 60 };
};

/// An HTTP server on one address whose requests have decoded paths and
/// parameters.
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
    const HttpLimits& aLimits,
    const ClientResources& aResources = ClientResources());
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  [[nodiscard]] RequestArrivedSignal& RequestArrived();

private:
  HttpServer() = default;
  void Handle(const std::shared_ptr<HttpCall>& aCall);

  RequestArrivedSignal mRequestArrived;
  std::unique_ptr<HttpListener> mListener;
};

} // namespace verbenachute
