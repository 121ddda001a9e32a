#include <LibTransport/FrameListener.h>

#include <LibCore/SocketAddressText.h>

#include <arpa/inet.h>
#include <event2/listener.h>
#include <netinet/in.h>

namespace verbenachute {

namespace {

constexpr int kBacklog = 1024;

} // namespace

Result<std::unique_ptr<FrameListener>>
FrameListener::Create(EventLoop& aLoop, const SocketAddress& aAddress)
{
  std::unique_ptr<FrameListener> listener(new FrameListener(aLoop));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aAddress.mPort);
  inet_pton(AF_INET, aAddress.mHost.c_str(), &address.sin_addr);
  listener->mListener = evconnlistener_new_bind(
    aLoop.Base(),
    [](evconnlistener*, evutil_socket_t aSocket, sockaddr*, int, void* aSelf) {
      FrameListener* self = static_cast<FrameListener*>(aSelf);
      self->mAccepted.emit(FrameLink::Adopt(self->mLoop, aSocket));
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

FrameListener::FrameListener(EventLoop& aLoop)
  : mLoop(aLoop)
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
