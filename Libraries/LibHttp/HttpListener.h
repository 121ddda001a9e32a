#pragma once

#include <LibHttp/HttpServerConnection.h>

#include <LibCore/Error.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <limits>
#include <map>
#include <memory>

struct evconnlistener;

namespace verbenachute {

/// What the clients of a listener may take of the process.
struct ClientResources
{
  /// Shared by several listeners; null if memory is not bounded.
  MemoryBudget* mMemory = nullptr;
  std::size_t mMaximumConnections = std::numeric_limits<std::size_t>::max();
  /// Called when the listener stops accepting because of the maximum.
  std::function<void()> mPaused;
};

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
    HttpServerConnection::Handler aHandler,
    const ClientResources& aResources = ClientResources());
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
               HttpServerConnection::Handler aHandler,
               const ClientResources& aResources);
  void Accept(int aSocket);
  void OnEnded(HttpServerConnection* aConnection);
  /// Stops accepting until connections have ended, and closes those that have
  /// waited longest for input.
  void PauseAccepting();
  void CloseLongestWaiting();

  EventLoop& mLoop;
  ServerLimits mLimits;
  HttpServerConnection::Handler mHandler;
  ClientResources mResources;
  evconnlistener* mListener = nullptr;
  bool mPaused = false;
  Timer mPauseTimer;
  std::map<HttpServerConnection*, std::unique_ptr<HttpServerConnection>>
    mConnections;
};

} // namespace verbenachute
