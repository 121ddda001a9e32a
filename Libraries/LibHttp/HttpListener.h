#pragma once

#include <LibHttp/HttpServerConnection.h>

#include <LibCore/Error.h>

#include <map>
#include <memory>

struct evconnlistener;

namespace verbenachute {

/// Accepts connections on one address and passes their requests to a handler.
class HttpListener
{
public:
  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound.
  [[nodiscard]] static Result<std::unique_ptr<HttpListener>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const ServerLimits& aLimits,
    HttpServerConnection::Handler aHandler);
  ~HttpListener();
  HttpListener(const HttpListener&) = delete;
  HttpListener& operator=(const HttpListener&) = delete;

  /// Takes effect at the next request of each connection.
  void SetLimits(const ServerLimits& aLimits) { mLimits = aLimits; }
  /// Closes the listening socket and the idle connections. Each other
  /// connection closes after its next response.
  void StopAccepting();
  [[nodiscard]] std::size_t ConnectionCount() const
  {
    return mConnections.size();
  }

private:
  HttpListener(EventLoop& aLoop,
               const ServerLimits& aLimits,
               HttpServerConnection::Handler aHandler);
  void Accept(int aSocket);

  EventLoop& mLoop;
  ServerLimits mLimits;
  HttpServerConnection::Handler mHandler;
  evconnlistener* mListener = nullptr;
  std::map<HttpServerConnection*, std::unique_ptr<HttpServerConnection>>
    mConnections;
};

} // namespace verbenachute
