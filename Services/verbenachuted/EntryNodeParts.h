#pragma once

#include "EntryNode.h"

#include "EntryOperatorState.h"
#include "GatherPort.h"
#include "GossipPort.h"
#include "OperatorPort.h"
#include "QuotaService.h"
#include "RolloutService.h"
#include "SettingsFileWatcher.h"
#include "StoreKeys.h"
#include "StoreLink.h"
#include "TargetConnectionPool.h"

#include <LibEntry/AdvertisementPolicy.h>
#include <LibEntry/ConfigurationRestore.h>
#include <LibEntry/CpuUsageEstimator.h>
#include <LibEntry/EntryState.h>
#include <LibEntry/GracefulShutdown.h>
#include <LibEntry/PlanCatchUp.h>
#include <LibHttp/HttpListener.h>
#include <LibHttp/ResourceShares.h>
#include <LibObservation/BoostLogger.h>
#include <LibStore/StoreUpdateCache.h>
#include <LibTenant/Authenticator.h>

#include <memory>
#include <unordered_map>

namespace verbenachute {

/// The components of a node. Members are declared in the order of their
/// dependencies.
class EntryNode::Parts
{
public:
  Parts(const CommandLine& aCommandLine,
        const Settings& aSettings,
        std::unique_ptr<EventLoop> aLoop,
        std::unique_ptr<GossipPort> aGossipPort);

  [[nodiscard]] Result<Success> Listen();
  [[nodiscard]] int Run();

private:
  using CallPointer = std::shared_ptr<HttpCall>;

  struct PendingCall
  {
    CallPointer mCall;
    CallerRequestPointer mRequest;
    /// Whether it has taken a token of its tenant's quota.
    bool mHasToken = false;
  };

  void OnCallerCall(const CallPointer& aCall);
  [[nodiscard]] PlanKnowledge KnowledgeOfPlan() const;
  [[nodiscard]] QuotaService::Hooks QuotaHooks();
  void OnQuotaDecision(RequestNumber aNumber,
                       const QuotaDecisionAction& aDecision);
  /// Address of an advertised node for datagrams.
  [[nodiscard]] std::optional<SocketAddress> PeerAddressOf(
    const NodeName& aNode) const;
  /// Sets the tenant of a request. If the request has no valid API key, answers
  /// it and returns false.
  [[nodiscard]] bool AuthenticateCall(RequestNumber aNumber,
                                      CallerRequest* aRequest);
  void OnDirectoryCall(const CallPointer& aCall);
  void OnReadyCall(const CallPointer& aCall);
  void OnPeerCall(const CallPointer& aCall);
  void OnGossip(const GossipMessage& aMessage);
  void OnGossipTick();
  void SendGossip(const std::vector<GossipTable::Datagram>& aDatagrams);
  [[nodiscard]] GatherPort::Hooks GatherHooks();
  void OnDelegationRequest(RequestNumber aNumber,
                           const DelegationRequest& aRequest);
  void OnStoreChanges(const StoreMirror::Changes& aChanges);
  /// Removes the targets whose removal delay is over.
  void RemoveDueTargets();
  void ScheduleRemoval();
  void OnOperatorTick();
  void OnClientEvicted(const MemoryBudget::Eviction& aEviction);
  /// What the clients of a listener may take.
  [[nodiscard]] ClientResources ResourcesFor(std::size_t aMaximumConnections);
  /// What is due after the store was restored from an older copy; nothing in
  /// era 0. See docs/design/store-era.md.
  void OnRestoreTick(Instant aNow);
  void CatchUpWithPlan(Instant aNow);
  void FetchPlan(Instant aNow);
  void RewriteConfiguration(Instant aNow);
  /// The newest plan version of the peers that are alive.
  [[nodiscard]] PlanVersion NewestPlanOfPeers(Instant aNow) const;
  /// Number of serving nodes that are before this one in the order for writing
  /// the configuration again.
  [[nodiscard]] std::size_t RankForRewrite(Instant aNow) const;
  void OnSettingsChanged();
  void OnStop();
  void OnShutdownTick();
  void Perform(ForwardActions aActions);
  void LogPoisonNotices();
  void Answer(AnswerAction aAction);
  void Delegate(const DelegateAction& aAction);
  void ScheduleEngine();
  /// Determines which nodes are advertised to callers, and from this the peers
  /// that may gather shards, the source of store updates and this node's gossip
  /// role.
  void UpdateAdvertisedNodes(Instant aNow);
  /// Passes to the engine the peers that may gather shards for this node.
  void UpdateGatherPeers(const std::vector<NodeStatus>& aAdvertised);
  /// Passes the advertised nodes, which grant the tokens of quotas, to the
  /// quota service.
  void UpdateQuotaNodes(const std::vector<NodeStatus>& aAdvertised);
  void UpdateOwnStatus();
  /// The nodes that the directory lists for callers. Empty if none serves.
  [[nodiscard]] std::vector<NodeStatus> ChooseAdvertisedNodes();
  void RespondWithMetrics(const CallPointer& aCall);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] AfterResponse ConnectionAfterResponse() const;

  CommandLine mCommandLine;
  Settings mSettings;
  NodeIdentity mSelf;
  ResourceShares mShares;
  /// Declared before the loop, whose deferred tasks may hold charges.
  MemoryBudget mClientMemory;
  std::unique_ptr<EventLoop> mLoop;
  BoostLogger mLogger;
  MetricsRegistry mMetrics;
  ForwardEngine mEngine;
  EntryState mEntryState;
  GossipTable mGossip;
  std::unique_ptr<GossipPort> mGossipPort;
  TargetConnectionPool mPool;
  std::unique_ptr<GatherPort> mGatherPort;
  /// Addresses at which the peers accept delegated requests.
  std::map<NodeName, SocketAddress> mGatherAddresses;
  /// Addresses at which the advertised nodes receive datagrams.
  std::map<NodeName, SocketAddress> mPeerAddresses;
  QuotaService mQuota;
  StoreLink mStore;
  StoreUpdateCache mStoreUpdateCache;
  StoreKeys mStoreKeys;
  RolloutService mRollouts;
  EntryOperatorState mOperatorState;
  PlanCatchUp mPlanCatchUp;
  std::unique_ptr<HttpClientStream> mPlanStream;
  ConfigurationRestore mConfigurationRestore;
  std::unique_ptr<OperatorPort> mOperatorPort;
  RecentlyAdvertisedNodes mRecentlyAdvertised;
  CpuUsageEstimator mCpuUsage;
  GracefulShutdown mShutdown;
  SettingsFileWatcher mSettingsFileWatcher;
  Timer mEngineTimer;
  Timer mRemovalTimer;
  Timer mGossipTimer;
  Timer mAnnounceTimer;
  Timer mShutdownTimer;
  Timer mIdleTimer;
  Timer mOperatorTimer;
  Timer mTrimTimer;
  std::unique_ptr<HttpListener> mCallerListener;
  std::unique_ptr<HttpListener> mDirectoryListener;
  std::unique_ptr<HttpListener> mReadyListener;
  std::unique_ptr<HttpListener> mPeerListener;
  std::unordered_map<RequestNumber, PendingCall> mPendingCalls;
  std::uint64_t mNextRequestNumber = 1;
  Instant mStartTime;
  /// Latest plan version that a peer has reported.
  PlanVersion mNewestPlanVersion;
};

} // namespace verbenachute
