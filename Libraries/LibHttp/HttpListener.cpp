#include <LibHttp/HttpListener.h>

#include <LibCore/SocketAddressText.h>
#include <LibTransport/SocketOptions.h>

#include <event2/listener.h>
#include <utility>
#include <vector>

namespace verbenachute {

namespace {

// Connections that may wait to be accepted. If the queue is full, the kernel
// drops the SYN, which callers retransmit only after a second.
constexpr int kBacklog = 512;

} // namespace

Result<std::unique_ptr<HttpListener>>
HttpListener::Create(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     const ServerLimits& aLimits,
                     HttpServerConnection::Handler aHandler)
{
  std::unique_ptr<HttpListener> listener(
    new HttpListener(aLoop, aLimits, std::move(aHandler)));
  sockaddr_in address = SocketAddressOf(aAddress);
  listener->mListener = evconnlistener_new_bind(
    aLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      static_cast<HttpListener*>(aSelf)->Accept(static_cast<int>(aSocket));
    },
    listener.get(),
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE | LEV_OPT_CLOSE_ON_EXEC,
    kBacklog,
    reinterpret_cast<sockaddr*>(&address),
    sizeof(address));
  if (listener->mListener == nullptr) {
    return Error{ Step::Settings,
                  ErrorCode::Unavailable,
                  SocketAddressText(aAddress),
                  "the address can not be bound" };
  }
  return listener;
}

HttpListener::HttpListener(EventLoop& aLoop,
                           const ServerLimits& aLimits,
                           HttpServerConnection::Handler aHandler)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
{
}

HttpListener::~HttpListener()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

void
HttpListener::Accept(int aSocket)
{
  std::unique_ptr<HttpServerConnection> connection =
    std::make_unique<HttpServerConnection>(
      mLoop, aSocket, mLimits, mHandler, [this](HttpServerConnection* aEnded) {
        mConnections.erase(aEnded);
      });
  HttpServerConnection* key = connection.get();
  mConnections.emplace(key, std::move(connection));
}

void
HttpListener::StopAccepting()
{
  if (mListener != nullptr) {
    evconnlistener_free(std::exchange(mListener, nullptr));
  }
  for (const auto& entry : mConnections) {
    entry.second->CloseWhenIdle();
  }
}

} // namespace verbenachute
