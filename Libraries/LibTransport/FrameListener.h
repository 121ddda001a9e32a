#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/FrameLink.h>

#include <memory>

struct evconnlistener;

namespace verbenachute {

/// Accepts links of other nodes on one address.
class FrameListener
{
public:
  using AcceptedSignal = sigc::signal<void(std::shared_ptr<FrameLink>)>;

  /// Fails with step Settings when the address can not be bound.
  [[nodiscard]] static Result<std::unique_ptr<FrameListener>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  [[nodiscard]] AcceptedSignal& Accepted();

private:
  explicit FrameListener(EventLoop& aLoop);

  EventLoop& mLoop;
  evconnlistener* mListener = nullptr;
  AcceptedSignal mAccepted;
};

} // namespace verbenachute
