#pragma once

#include <LibCore/Error.h>
#include <LibForward/ForwardAction.h>
#include <LibGather/GatherMessage.h>
#include <LibGather/TransitClock.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/FrameLink.h>
#include <LibTransport/FrameListener.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

namespace verbenachute {

/// The links over which nodes gather shards for each other. It carries out what
/// the engines on both sides decide.
class GatherPort
{
public:
  struct Hooks
  {
    /// A peer answers an order of this node.
    std::function<void(DelegationNumber, const DelegationAnswer&)> mAnswered;
    /// NotSent if the order did not leave this node.
    std::function<void(DelegationNumber, AttemptFailure)> mFailed;
    /// A peer asks; what Report is given under the number goes back to it.
    std::function<void(RequestNumber, const DelegatedOrder&)> mOrdered;
    std::function<void(RequestNumber, RecallReason)> mRecalled;
    /// A number that no other request of this process has.
    std::function<RequestNumber()> mNextNumber;
  };

  /// Fails with step Settings when the address can not be bound. Without an
  /// address the node takes no orders.
  [[nodiscard]] static Result<std::unique_ptr<GatherPort>> Create(
    EventLoop& aLoop,
    const std::optional<SocketAddress>& aAddress,
    Hooks aHooks);

  /// Sends an order; dials if there is no link. The result comes through the
  /// hooks, never from within this call.
  void Delegate(const DelegateAction& aAction, const SocketAddress& aAddress);
  void Recall(const RecallAction& aAction);
  /// Answers the node that asked, if it is still there.
  void Report(const ReportAction& aAction);
  /// Frames that could not be read.
  [[nodiscard]] std::uint64_t Malformed() const { return mMalformed; }

private:
  /// A link that this node dialled.
  struct Outgoing
  {
    std::unique_ptr<FrameLink> mLink;
    bool mConnected = false;
    Instant mHeard;
    /// Orders whose last answer has not come, with when they were sent.
    std::map<DelegationNumber, Instant> mOpen;
  };
  /// A link that a peer dialled.
  struct Incoming
  {
    std::shared_ptr<FrameLink> mLink;
    TransitClock mTransit;
    std::map<DelegationNumber, RequestNumber> mOpen;
  };

  GatherPort(EventLoop& aLoop, Hooks aHooks);
  [[nodiscard]] Outgoing& LinkTo(const SocketAddress& aAddress);
  void Accept(std::shared_ptr<FrameLink> aLink);
  void OnAnswerFrame(const SocketAddress& aAddress,
                     FrameKind aKind,
                     const std::string& aPayload);
  void OnOrderFrame(FrameLink* aLink,
                    FrameKind aKind,
                    const std::string& aPayload);
  void OnOrder(Incoming* aIncoming, const GatherOrder& aOrder);
  void OnRecall(Incoming* aIncoming, const GatherRecall& aRecall);
  void CloseOutgoingSoon(const SocketAddress& aAddress);
  void CloseOutgoing(const SocketAddress& aAddress);
  void CloseIncoming(FrameLink* aLink);
  void CloseSilent();

  EventLoop& mLoop;
  Hooks mHooks;
  Timer mSilenceTimer;
  std::unique_ptr<FrameListener> mListener;
  std::map<SocketAddress, Outgoing> mOutgoing;
  std::unordered_map<DelegationNumber, SocketAddress> mDelegations;
  std::map<FrameLink*, Incoming> mIncoming;
  std::unordered_map<RequestNumber, std::pair<FrameLink*, DelegationNumber>>
    mRequests;
  std::uint64_t mMalformed = 0;
};

} // namespace verbenachute
