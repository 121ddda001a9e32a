#pragma once

#include "EntryNode.h"

#include "EntrySteering.h"
#include "GatherPort.h"
#include "GossipPort.h"
#include "OperatorPort.h"
#include "SettingsWatch.h"
#include "StoreKeys.h"
#include "StoreLink.h"
#include "TargetPool.h"

#include <LibEntry/EntryKnowledge.h>
#include <LibEntry/LoadMeter.h>
#include <LibEntry/NodeDeparture.h>
#include <LibEntry/OfferPolicy.h>
#include <LibHttp/HttpListener.h>
#include <LibObservation/BoostLogger.h>
#include <LibStore/StoreNewsShelf.h>

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
  };

  void OnCallerCall(const CallPointer& aCall);
  void OnDirectoryCall(const CallPointer& aCall);
  void OnReadyCall(const CallPointer& aCall);
  void OnPeerCall(const CallPointer& aCall);
  void OnGossip(const GossipMessage& aMessage);
  void OnGossipTick();
  [[nodiscard]] GatherPort::Hooks GatherHooks();
  void OnDelegationRequest(RequestNumber aNumber,
                           const DelegatedOrder& aRequest);
  void OnStoreChanges(const StoreMirror::Changes& aChanges);
  void OnOperatorTick();
  void OnSettingsChanged();
  void OnStop();
  void OnShutdownTick();
  void Perform(ForwardActions aActions);
  void Answer(const AnswerAction& aAction);
  void Delegate(const DelegateAction& aAction);
  void ScheduleEngine();
  /// Determines which nodes are advertised to callers, and from this the peers
  /// that may gather shards, the source of store updates and this node's reach.
  void UpdateAdvertisedNodes(Instant aNow);
  /// Passes to the engine the peers that may gather shards for this node.
  void UpdateGatherPeers(const std::vector<NodeNews>& aAdvertised);
  void UpdateOwnStatus();
  /// The nodes that the directory lists for callers. Empty if none serves.
  [[nodiscard]] std::vector<NodeNews> ChooseAdvertisedNodes();
  void RespondWithMetrics(const CallPointer& aCall);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] AfterResponse ConnectionAfterResponse() const;

  CommandLine mCommandLine;
  Settings mSettings;
  NodeIdentity mSelf;
  std::unique_ptr<EventLoop> mLoop;
  BoostLogger mLogger;
  MetricsRegistry mMetrics;
  ForwardEngine mEngine;
  EntryKnowledge mKnowledge;
  GossipTable mGossip;
  std::unique_ptr<GossipPort> mGossipPort;
  TargetPool mPool;
  std::unique_ptr<GatherPort> mGatherPort;
  /// Addresses at which the peers accept delegated requests.
  std::map<NodeName, SocketAddress> mGatherAddresses;
  StoreLink mStore;
  StoreNewsShelf mStoreUpdateCache;
  StoreKeys mStoreKeys;
  EntrySteering mSteering;
  std::unique_ptr<OperatorPort> mOperatorPort;
  SenderWatch mSenders;
  LoadMeter mLoadMeter;
  NodeDeparture mShutdown;
  SettingsWatch mSettingsWatch;
  Timer mEngineTimer;
  Timer mGossipTimer;
  Timer mAnnounceTimer;
  Timer mShutdownTimer;
  Timer mIdleTimer;
  Timer mOperatorTimer;
  std::unique_ptr<HttpListener> mCallerListener;
  std::unique_ptr<HttpListener> mDirectoryListener;
  std::unique_ptr<HttpListener> mReadyListener;
  std::unique_ptr<HttpListener> mPeerListener;
  std::unordered_map<RequestNumber, PendingCall> mPendingCalls;
  std::uint64_t mNextRequestNumber = 1;
  Instant mStartTime;
};

} // namespace verbenachute
