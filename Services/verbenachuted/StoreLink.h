#pragma once

#include <LibCore/Identifiers.h>
#include <LibGossip/GossipTable.h>
#include <LibHttp/HttpClientStream.h>
#include <LibObservation/Logger.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibStore/StoreFollower.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <platform/StoreWire.h>

#include <functional>
#include <memory>

namespace verbenachute {

/// Executes the calls of the follower, and maintains this node's own key in the
/// store, by which other nodes discover it.
class StoreLink
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    Logger& mLogger;
    /// Failure domain of this node.
    FailureDomain mDomain;
    /// Returns the status of a peer that knows a later state; null if there is
    /// none.
    std::function<const NodeStatus*(StorePosition)> mFindPeer;
    /// Called with the changes to the mirror, which may be none.
    std::function<void(const StoreMirror::Changes&)> mOnChanged;
    /// Called after the mirror has become known to contain all changes up to a
    /// later time than before.
    std::function<void(Instant)> mOnKnownAsOf;
    MetricsRegistry& mMetrics;
  };

  StoreLink(const NodeName& aSelf,
            const SocketAddress& aStore,
            Dependencies aDependencies);

  void Start(const std::string& aOwnKey, const std::string& aOwnValue);
  /// Sets the source of updates and the maximum wait of the watches.
  void SetSource(UpdateSource aSource, Duration aWatchTimeout);
  /// Another node reports the latest position that it knows.
  void OnPeerPosition(StorePosition aPosition);
  /// The era of a response that the store gave to another part of this node.
  void OnEra(StoreEra aEra);
  /// See StoreFollower::RequestKnownAsOf.
  void RequestKnownAsOf(std::optional<Instant> aTime);
  [[nodiscard]] const StoreFollower& Follower() const { return mFollower; }

private:
  using Done = std::function<void(const StreamOutcome&)>;
  using StoreDone = std::function<void(const StreamOutcome&, StoreEra)>;

  enum class RegistrationStep
  {
    Lease,
    Key,
    Registered,
  };

  void Advance();
  void Execute(const ReadPageAction& aAction);
  void Execute(const WatchAction& aAction);
  void Execute(const ProbeAction& aAction);
  void Execute(const FetchFromPeerAction& aAction);
  void OnPeerResponse(const StreamOutcome& aOutcome);
  void Call(std::unique_ptr<HttpClientStream>* aStream,
            const SocketAddress& aAddress,
            std::string aRequest,
            Duration aTimeout,
            Done aDone,
            const MessageLimits& aLimits = MessageLimits());
  /// A call to the store; aDone gets the era that the response reports, or the
  /// one known so far if it reports none that can be read.
  void CallStore(std::unique_ptr<HttpClientStream>* aStream,
                 std::string aRequest,
                 Duration aTimeout,
                 StoreDone aDone,
                 const MessageLimits& aLimits = MessageLimits());
  [[nodiscard]] StoreEra EraOrKnown(const StreamOutcome& aOutcome);
  /// Reports a rise of the era, and registers this node again if its lease is
  /// of an earlier one.
  void NoticeEra();
  void OnCallFailure(StoreFailure aFailure, const char* aCall, StoreEra aEra);
  /// Logs a call that failed while the store had been available, after its
  /// report to the follower.
  void LogFailure(StoreFailure aFailure, const char* aCall);
  /// Logs the end of an outage, before the report to the follower.
  void LogResponse(const char* aCall);
  void Register();
  void Renew();
  void ScheduleRegistration();

  NodeName mSelf;
  SocketAddress mStore;
  std::string mHost;
  Dependencies mDependencies;
  StoreFollower mFollower;
  std::optional<Instant> mRequestedAsOf;
  /// The time that mOnKnownAsOf was last called with.
  Instant mReportedAsOf;
  std::unique_ptr<HttpClientStream> mReadStream;
  std::unique_ptr<HttpClientStream> mProbeStream;
  std::unique_ptr<HttpClientStream> mWriteStream;
  std::unique_ptr<HttpClientStream> mPeerStream;
  Timer mTimer;
  Timer mRegistrationTimer;
  BackoffSchedule mRegistrationBackoff;
  RegistrationStep mRegistrationStep = RegistrationStep::Lease;
  platform::LeaseId mLease;
  /// The era in which mLease was granted.
  StoreEra mLeaseEra;
  /// The last era that was logged.
  StoreEra mReportedEra;
  std::string mOwnKey;
  std::string mOwnValue;
};

} // namespace verbenachute
