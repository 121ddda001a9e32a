#pragma once

#include <LibCore/Error.h>
#include <LibForward/ForwardAction.h>
#include <LibGather/GatherMessage.h>
#include <LibGather/PayloadCompressor.h>
#include <LibGather/PayloadDecompressor.h>
#include <LibGather/PendingDelegations.h>
#include <LibGather/TransitDelayEstimator.h>
#include <LibObservation/MetricsRegistry.h>
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

/// Manages the links over which nodes gather shards for each other, and
/// executes the actions that the engines on both sides request.
class GatherPort
{
public:
  struct Hooks
  {
    /// A peer answers a request that this node delegated to it.
    std::function<void(DelegationNumber, const DelegationResponse&)>
      mOnResponse;
    /// A delegated request failed; NotSent if it did not leave this node.
    std::function<void(DelegationNumber, AttemptFailure)> mOnFailure;
    /// A peer delegates a request. The reports under this number are sent back
    /// to it.
    std::function<void(RequestNumber, const DelegationRequest&)> mOnRequest;
    /// A peer cancelled its request or closed its link.
    std::function<void(RequestNumber, CancelReason)> mOnCancelled;
    /// Returns a number that no other request of this process has.
    std::function<RequestNumber()> mNextRequestNumber;
  };

  /// What the links may take of the process.
  struct Resources
  {
    /// The memory of frames and of delegated requests.
    MemoryBudget& mMemory;
    /// Links that peers open.
    std::size_t mMaximumIncoming = 0;
  };

  /// Fails with step Settings if the address cannot be bound. Without an
  /// address the node accepts no delegated requests.
  [[nodiscard]] static Result<std::unique_ptr<GatherPort>> Create(
    EventLoop& aLoop,
    MetricsRegistry& aMetrics,
    const std::optional<SocketAddress>& aAddress,
    const Resources& aResources,
    Hooks aHooks);

  /// Sends a request to a peer, and connects first if there is no link. The
  /// result is reported through the hooks, never from within this call.
  void Delegate(const DelegateAction& aAction, const SocketAddress& aAddress);
  void CancelDelegation(const CancelDelegationAction& aAction);
  /// Sends a result to the node that delegated the request. Ignored if that
  /// node is no longer connected or has cancelled the request.
  void Report(const ReportAction& aAction);
  /// Number of frames that could not be decoded.
  [[nodiscard]] std::uint64_t Malformed() const { return mMalformed; }

private:
  /// Compression of both directions of a link.
  struct Compression
  {
    PayloadCompressor mCompressor;
    PayloadDecompressor mDecompressor{ kMaximumFrameBytes };
  };
  /// A link that this node opened.
  struct Outgoing
  {
    std::unique_ptr<FrameLink> mLink;
    Compression mCompression;
    bool mConnected = false;
    Instant mLastReceived;
  };
  /// A link that a peer opened.
  struct Incoming
  {
    std::shared_ptr<FrameLink> mLink;
    Compression mCompression;
    TransitDelayEstimator mTransit;
    std::map<DelegationNumber, RequestNumber> mPending;
    /// Time of the last frame, or of the connection.
    Instant mLastReceived;
  };

  /// The limits on callers allow requests of up to 256 KiB; a report on all
  /// shards of the planned deployment size is about 100 KiB.
  static constexpr std::uint32_t kMaximumFrameBytes = 1024 * 1024;

  GatherPort(EventLoop& aLoop,
             MetricsRegistry& aMetrics,
             const Resources& aResources,
             Hooks aHooks);
  [[nodiscard]] Outgoing& FindOrDial(const SocketAddress& aAddress);
  void Accept(std::shared_ptr<FrameLink> aLink);
  /// The incoming link without a pending request that has been silent longest;
  /// null if none has been silent for a while.
  [[nodiscard]] FrameLink* LongestSilent() const;
  void OnResponseFrame(const SocketAddress& aAddress,
                       FrameKind aKind,
                       const std::string& aPayload);
  void OnRequestFrame(FrameLink* aLink,
                      FrameKind aKind,
                      const std::string& aPayload);
  void OnRequest(Incoming* aIncoming, const GatherRequest& aRequest);
  void OnCancellation(Incoming* aIncoming,
                      const GatherCancellation& aCancellation);
  /// Sends a message to a node of another failure domain.
  void Send(FrameLink* aLink,
            Compression* aCompression,
            TrafficCause aCause,
            const GatherMessage& aMessage);
  [[nodiscard]] static Result<GatherMessage> Read(Compression* aCompression,
                                                  const std::string& aPayload);
  void DeferCloseOutgoing(const SocketAddress& aAddress);
  void CloseOutgoing(const SocketAddress& aAddress);
  void CloseIncoming(FrameLink* aLink);
  void CloseUnresponsive();

  EventLoop& mLoop;
  MetricsRegistry& mMetrics;
  Resources mResources;
  Hooks mHooks;
  Timer mSilenceTimer;
  std::unique_ptr<FrameListener> mListener;
  std::map<SocketAddress, Outgoing> mOutgoing;
  PendingDelegations mDelegations;
  std::map<FrameLink*, Incoming> mIncoming;
  std::unordered_map<RequestNumber, std::pair<FrameLink*, DelegationNumber>>
    mRequests;
  std::uint64_t mMalformed = 0;
};

} // namespace verbenachute
