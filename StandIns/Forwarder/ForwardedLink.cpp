#include "ForwardedLink.h"

#include <LibCore/Verify.h>

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <utility>

namespace verbenachute::standins {

ForwardedLink::ForwardedLink(EventLoop& aLoop,
                             const ForwardingRules& aRules,
                             int aClientSocket,
                             const SocketAddress& aServer,
                             Closed aClosed)
  : mLoop(aLoop)
  , mRules(aRules)
  , mClosed(std::move(aClosed))
  , mClient(bufferevent_socket_new(aLoop.Base(),
                                   aClientSocket,
                                   BEV_OPT_CLOSE_ON_FREE))
  , mServer(bufferevent_socket_new(aLoop.Base(), -1, BEV_OPT_CLOSE_ON_FREE))
{
  VERIFY(mClient && mServer);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aServer.mPort);
  inet_pton(AF_INET, aServer.mHost.c_str(), &address.sin_addr);
  for (bufferevent* buffer : { mClient, mServer }) {
    bufferevent_setcb(buffer, &InputArrived, nullptr, &EventArrived, this);
    bufferevent_enable(buffer, EV_READ | EV_WRITE);
  }
  bufferevent_socket_connect(
    mServer, reinterpret_cast<sockaddr*>(&address), sizeof(address));
}

ForwardedLink::~ForwardedLink()
{
  bufferevent_free(mClient);
  bufferevent_free(mServer);
}

void
ForwardedLink::Resume()
{
  Forward(mClient);
  Forward(mServer);
}

void
ForwardedLink::InputArrived(bufferevent* aBuffer, void* aLink)
{
  static_cast<ForwardedLink*>(aLink)->Forward(aBuffer);
}

void
ForwardedLink::Forward(bufferevent* aFrom)
{
  const bool toServer = aFrom == mClient;
  const Passage passage = toServer ? mRules.mToServer : mRules.mToClient;
  if (passage == Passage::Stopped) {
    return;
  }
  bufferevent* to = toServer ? mServer : mClient;
  if (mRules.mDelay == Duration::zero()) {
    Move(aFrom, to);
    return;
  }
  mLoop.After(mRules.mDelay, [weak = weak_from_this(), aFrom, to]() {
    if (const auto link = weak.lock()) {
      link->Move(aFrom, to);
    }
  });
}

void
ForwardedLink::Move(bufferevent* aFrom, bufferevent* aTo)
{
  bufferevent_write_buffer(aTo, bufferevent_get_input(aFrom));
}

void
ForwardedLink::EventArrived(bufferevent* aBuffer, short aEvents, void* aLink)
{
  if ((aEvents & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
    return;
  }
  ForwardedLink* link = static_cast<ForwardedLink*>(aLink);
  const bool fromClient = aBuffer == link->mClient;
  const Passage passage =
    fromClient ? link->mRules.mToServer : link->mRules.mToClient;
  // In a cut network the other side does not see that a connection ends.
  if (passage == Passage::Open) {
    link->EndAfter(fromClient ? link->mServer : link->mClient);
  }
}

void
ForwardedLink::EndAfter(bufferevent* aLast)
{
  if (evbuffer_get_length(bufferevent_get_output(aLast)) == 0) {
    mClosed(this);
    return;
  }
  // The last bytes before the end still have to reach the other side.
  bufferevent_setcb(aLast, nullptr, &OutputDrained, &EventArrived, this);
}

void
ForwardedLink::OutputDrained(bufferevent*, void* aLink)
{
  ForwardedLink* link = static_cast<ForwardedLink*>(aLink);
  link->mClosed(link);
}

} // namespace verbenachute::standins
