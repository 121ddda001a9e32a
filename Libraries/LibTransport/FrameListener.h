#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/FrameLink.h>

#include <memory>

struct evconnlistener;

namespace verbenachute {

/// Accepts links from other nodes on one address.
class FrameListener
{
public:
  using AcceptedSignal = sigc::signal<void(std::shared_ptr<FrameLink>)>;

  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound. For aBudget see FrameLink::Dial.
  [[nodiscard]] static Result<std::unique_ptr<FrameListener>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    std::uint32_t aMaximumPayloadBytes = FrameLink::kMostBytes,
    MemoryBudget* aBudget = nullptr);
  ~FrameListener();
  FrameListener(const FrameListener&) = delete;
  FrameListener& operator=(const FrameListener&) = delete;

  [[nodiscard]] AcceptedSignal& Accepted();

private:
  FrameListener(EventLoop& aLoop,
                std::uint32_t aMaximumPayloadBytes,
                MemoryBudget* aBudget);

  EventLoop& mLoop;
  std::uint32_t mMaximumPayloadBytes;
  MemoryBudget* mBudget;
  evconnlistener* mListener = nullptr;
  AcceptedSignal mAccepted;
};

} // namespace verbenachute
