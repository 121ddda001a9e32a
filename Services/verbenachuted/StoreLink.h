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

/// Carries out the calls of the follower, and keeps this node's own key in
/// the store, by which other nodes find it.
class StoreLink
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    Logger& mLogger;
    /// Address of a peer that knows more than a revision, if there is one.
    std::function<std::optional<SocketAddress>(StoreRevision)> mPeer;
    /// The mirror has changed.
    std::function<void(const StoreMirror::Changes&)> mChanged;
    MetricsRegistry& mMetrics;
  };

  StoreLink(const NodeName& aSelf,
            const SocketAddress& aStore,
            Dependencies aDependencies);

  void Start(const std::string& aOwnKey, const std::string& aOwnValue);
  /// From whom this node learns, and how long its watches wait.
  void SetSource(FollowSource aSource, Duration aWatchWait);
  /// Another node tells how much it knows.
  void OnPeerRevision(StoreRevision aRevision);
  [[nodiscard]] const StoreFollower& Follower() const { return mFollower; }

private:
  using Done = std::function<void(const StreamOutcome&)>;

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
  void Execute(const AskPeerAction& aAction);
  void OnPeerAnswer(const StreamOutcome& aOutcome);
  void Call(std::unique_ptr<HttpClientStream>* aStream,
            const SocketAddress& aAddress,
            std::string aRequest,
            Duration aTimeout,
            Done aDone);
  void Failed(StoreFailure aFailure, const char* aCall);
  void Register();
  void Renew();
  void RegisterLater();

  NodeName mSelf;
  SocketAddress mStore;
  std::string mHost;
  Dependencies mDependencies;
  StoreFollower mFollower;
  std::unique_ptr<HttpClientStream> mReadStream;
  std::unique_ptr<HttpClientStream> mProbeStream;
  std::unique_ptr<HttpClientStream> mWriteStream;
  std::unique_ptr<HttpClientStream> mPeerStream;
  Timer mTimer;
  Timer mRegistrationTimer;
  BackoffSchedule mRegistrationBackoff;
  RegistrationStep mStep = RegistrationStep::Lease;
  platform::LeaseId mLease;
  std::string mOwnKey;
  std::string mOwnValue;
};

} // namespace verbenachute
