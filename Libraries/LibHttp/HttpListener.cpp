#include <LibHttp/HttpListener.h>

#include <LibCore/SocketAddressText.h>
#include <LibTransport/SocketOptions.h>

#include <algorithm>
#include <event2/listener.h>
#include <utility>
#include <vector>

namespace verbenachute {

namespace {

// Connections that may wait to be accepted. If the queue is full, the kernel
// drops the SYN, which callers retransmit only after a second.
constexpr int kBacklog = 512;
constexpr Duration kPauseCheckInterval = milliseconds(250);
// A connection is not closed for a new one before it has waited this long.
constexpr Duration kMinimumWait = seconds(1);

} // namespace

Result<std::unique_ptr<HttpListener>>
HttpListener::Create(EventLoop& aLoop,
                     const SocketAddress& aAddress,
                     const ServerLimits& aLimits,
                     HttpServerConnection::Handler aHandler,
                     const ClientResources& aResources)
{
  std::unique_ptr<HttpListener> listener(
    new HttpListener(aLoop, aLimits, std::move(aHandler), aResources));
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
                           HttpServerConnection::Handler aHandler,
                           const ClientResources& aResources)
  : mLoop(aLoop)
  , mLimits(aLimits)
  , mHandler(std::move(aHandler))
  , mResources(aResources)
  , mPauseTimer(aLoop, [this]() { CloseLongestWaiting(); })
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
      mLoop,
      aSocket,
      mLimits,
      mHandler,
      [this](HttpServerConnection* aEnded) { OnEnded(aEnded); },
      mResources.mMemory);
  HttpServerConnection* key = connection.get();
  mConnections.emplace(key, std::move(connection));
  if (mConnections.size() >= mResources.mMaximumConnections) {
    PauseAccepting();
  }
}

void
HttpListener::OnEnded(HttpServerConnection* aConnection)
{
  mConnections.erase(aConnection);
  if (!mPaused || mConnections.size() >= mResources.mMaximumConnections) {
    return;
  }
  mPaused = false;
  mPauseTimer.Stop();
  if (mListener != nullptr) {
    evconnlistener_enable(mListener);
  }
}

void
HttpListener::PauseAccepting()
{
  if (mPaused || mListener == nullptr) {
    return;
  }
  mPaused = true;
  evconnlistener_disable(mListener);
  if (mResources.mPaused) {
    mResources.mPaused();
  }
  CloseLongestWaiting();
}

void
HttpListener::CloseLongestWaiting()
{
  const Instant now = mLoop.Now();
  std::vector<HttpServerConnection*> waiting;
  for (const auto& entry : mConnections) {
    if (entry.first->IsWaitingForInput() &&
        now - entry.first->LastInput() >= kMinimumWait) {
      waiting.push_back(entry.first);
    }
  }
  std::sort(
    waiting.begin(), waiting.end(), [](const auto* aOne, const auto* aOther) {
      return aOne->LastInput() < aOther->LastInput();
    });
  // A quarter at once, so that a full queue of new connections is accepted
  // within a few rounds.
  waiting.resize(
    std::min(waiting.size(), mResources.mMaximumConnections / 4 + 1));
  for (HttpServerConnection* connection : waiting) {
    connection->Close();
  }
  mPauseTimer.Start(kPauseCheckInterval);
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
