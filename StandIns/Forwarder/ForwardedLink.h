#pragma once

#include "ForwardingRules.h"

#include <Common/EventLoop.h>

#include <LibCore/Identifiers.h>

#include <functional>
#include <memory>

struct bufferevent;

namespace verbenachute::standins {

/// One accepted connection and the one behind it.
class ForwardedLink : public std::enable_shared_from_this<ForwardedLink>
{
public:
  using Closed = std::function<void(ForwardedLink*)>;

  ForwardedLink(EventLoop& aLoop,
                const ForwardingRules& aRules,
                int aClientSocket,
                const SocketAddress& aServer,
                Closed aClosed);
  ~ForwardedLink();
  ForwardedLink(const ForwardedLink&) = delete;
  ForwardedLink& operator=(const ForwardedLink&) = delete;

  /// Passes on what waits in open directions, after a change of the rules.
  void Resume();

private:
  static void InputArrived(bufferevent* aBuffer, void* aLink);
  static void EventArrived(bufferevent* aBuffer, short aEvents, void* aLink);

  static void OutputDrained(bufferevent* aBuffer, void* aLink);

  void Forward(bufferevent* aFrom);
  void EndAfter(bufferevent* aLast);
  void Move(bufferevent* aFrom, bufferevent* aTo);

  EventLoop& mLoop;
  const ForwardingRules& mRules;
  Closed mClosed;
  bufferevent* mClient = nullptr;
  bufferevent* mServer = nullptr;
};

} // namespace verbenachute::standins
