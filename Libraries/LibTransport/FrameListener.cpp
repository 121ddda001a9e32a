#include <LibTransport/FrameListener.h>
#include <LibTransport/SocketOptions.h>

#include <LibCore/SocketAddressText.h>

#include <event2/listener.h>

namespace verbenachute {

namespace {

constexpr int kBacklog = 1024;

} // namespace

Result<std::unique_ptr<FrameListener>>
FrameListener::Create(EventLoop& aLoop,
                      const SocketAddress& aAddress,
                      std::uint32_t aMaximumPayloadBytes,
                      MemoryBudget* aBudget)
{
  std::unique_ptr<FrameListener> listener(
    new FrameListener(aLoop, aMaximumPayloadBytes, aBudget));
  sockaddr_in address = SocketAddressOf(aAddress);
  listener->mListener = evconnlistener_new_bind(
    aLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      FrameListener* self = static_cast<FrameListener*>(aSelf);
      self->mAccepted.emit(FrameLink::Adopt(
        self->mLoop, aSocket, self->mMaximumPayloadBytes, self->mBudget));
    },
    listener.get(),
    LEV_OPT_CLOSE_ON_FREE | LEV_OPT_REUSEABLE,
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

FrameListener::FrameListener(EventLoop& aLoop,
                             std::uint32_t aMaximumPayloadBytes,
                             MemoryBudget* aBudget)
  : mLoop(aLoop)
  , mMaximumPayloadBytes(aMaximumPayloadBytes)
  , mBudget(aBudget)
{
}

FrameListener::~FrameListener()
{
  if (mListener != nullptr) {
    evconnlistener_free(mListener);
  }
}

FrameListener::AcceptedSignal&
FrameListener::Accepted()
{
  return mAccepted;
}

} // namespace verbenachute
