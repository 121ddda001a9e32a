#include "EntryNodeParts.h"

#include "EntrySettings.h"
#include "OutcomeLog.h"

#include <platform/KeyWire.h>

#include <LibCore/Allocator.h>
#include <LibCore/Overloaded.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibEntry/StoreWatchRole.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kShutdownCheckInterval = milliseconds(50);
constexpr Duration kIdleCheckInterval = milliseconds(500);
constexpr Duration kOperatorTickInterval = seconds(1);
// Store changes within this time are announced to peers in one message.
constexpr Duration kAnnounceDelay = milliseconds(20);

NodeIdentity
NewIdentity(const Settings& aSettings)
{
  const SystemClock clock;
  return NodeIdentity{ aSettings.Name(),
                       Incarnation(static_cast<std::uint64_t>(
                         clock.WallTime().count())) };
}

} // namespace

EntryNode::Parts::Parts(const CommandLine& aCommandLine,
                        const Settings& aSettings,
                        std::unique_ptr<EventLoop> aLoop,
                        std::unique_ptr<GossipPort> aGossipPort)
  : mCommandLine(aCommandLine)
  , mSettings(aSettings)
  , mSelf(NewIdentity(aSettings))
  , mShares(SharesOf(aSettings))
  , mClientMemory(
      mShares.mClientBytes + mShares.mTargetBytes,
      [this](const MemoryBudget::Eviction& aEviction) {
        OnClientEvicted(aEviction);
      },
      [this]() { mMetrics.Add(Counter::RequestsOverMemory); })
  , mLoop(std::move(aLoop))
  , mLogger({ aSettings.Name() }, mLoop->SystemTime())
  , mEngine(EngineSettings(aSettings, mSelf))
  , mEntryState(mEngine, mLogger, aSettings.Domains(), aSettings.HomeRegion())
  , mGossip(GossipSettings(mSelf), InitialStatus(aSettings, mSelf))
  , mGossipPort(std::move(aGossipPort))
  , mPool(
      *mLoop,
      mLogger,
      mMetrics,
      { mClientMemory, mShares.mTargetBytes, mShares.mTargetConnections },
      [this](AttemptId aAttempt, PartReply aReply) {
        if (!aReply.mUnreadableFields.empty()) {
          mLogger.Log(LogEvent(EventNumber::TargetFieldUnreadable)
                        .At(Step::Dispatch)
                        .With("fields", aReply.mUnreadableFields));
        }
        Perform(mEngine.OnReply(aAttempt, std::move(aReply), mLoop->Now()));
      },
      [this](AttemptId aAttempt, AttemptFailure aFailure) {
        Perform(mEngine.OnFailure(aAttempt, aFailure, mLoop->Now()));
      })
  , mQuota(mSelf, QuotaRuleOf(aSettings), QuotaHooks())
  , mStore(aSettings.Name(),
           aSettings.PlatformAddress(),
           { *mLoop,
             mLogger,
             mGossip.Self().mDomain,
             [this](StorePosition aNewerThan) {
               return mGossip.PeerWithNewerStore(aNewerThan, mLoop->Now());
             },
             [this](const StoreMirror::Changes& aChanges) {
               OnStoreChanges(aChanges);
             },
             [this](Instant aAsOf) {
               Perform(mEngine.OnListKnown(aAsOf, mLoop->Now()));
             },
             mMetrics })
  , mStoreKeys(*mLoop,
               mLogger,
               aSettings.PlatformAddress(),
               [this](StoreEra aEra) { mStore.OnEra(aEra); })
  , mRollouts(mSelf,
              RolloutRuleOf(aSettings),
              { *mLoop,
                mLogger,
                mMetrics,
                *mGossipPort,
                mEngine,
                mStoreKeys,
                [this]() { return mGossip.ServingNodes(mLoop->Now()); } })
  , mOperatorState(mSelf, { mEntryState, mGossip, mStore.Follower() })
  , mShutdown(GracefulShutdownSettings(aSettings))
  , mSettingsFileWatcher(*mLoop,
                         aCommandLine.mSettingsFile,
                         [this]() { OnSettingsChanged(); })
  , mEngineTimer(*mLoop, [this]() { Perform(mEngine.OnTime(mLoop->Now())); })
  , mRemovalTimer(*mLoop, [this]() { RemoveDueTargets(); })
  , mGossipTimer(*mLoop, [this]() { OnGossipTick(); })
  , mAnnounceTimer(*mLoop,
                   [this]() {
                     SendGossip(mGossip.Announce(AnnouncementScope::OwnDomain,
                                                 mLoop->Now()));
                   })
  , mShutdownTimer(*mLoop, [this]() { OnShutdownTick(); })
  , mIdleTimer(*mLoop,
               [this]() {
                 mPool.CloseIdle();
                 mClientMemory.Sweep(mLoop->Now());
                 RemoveDueTargets();
                 mStoreUpdateCache.OnTime(mLoop->Now());
                 mLogger.ReportSuppressed();
                 mIdleTimer.Start(kIdleCheckInterval);
               })
  , mOperatorTimer(*mLoop, [this]() { OnOperatorTick(); })
  , mTrimTimer(*mLoop, []() { ReturnFreeMemory(); })
{
  mStartTime = mLoop->Now();
  mEngine.SetDepartureCheck(
    [this](AttemptId aAttempt) { return mPool.MayHaveLeft(aAttempt); });
  mEngine.SetNodes({ mSelf.mName }, mSelf.mName);
  for (const SocketAddress& seed : aSettings.Seeds()) {
    // The seeds' addresses have another port. Gossip uses the same port on all
    // nodes.
    mGossip.AddSeed(SocketAddress{ seed.mHost, aSettings.PeerAddress().mPort });
  }
  mGossipPort->SetReceiver(
    [this](const GossipMessage& aMessage) { OnGossip(aMessage); });
  mLoop->SignalArrived().connect([this](int) { OnStop(); });
}

int
EntryNode::Parts::Run()
{
  mLogger.Log(LogEvent(EventNumber::DaemonStarted)
                .With("identity", NodeIdentityText(mSelf)));
  mStore.Start(platform::OwnKeyText("nodes/" + mSelf.mName.value()),
               SocketAddressText(mSettings.PeerAddress()));
  OnGossipTick();
  mIdleTimer.Start(kIdleCheckInterval);
  mOperatorTimer.Start(kOperatorTickInterval);
  mLoop->Run();
  mLogger.Log(LogEvent(EventNumber::ShutdownFinished).At(Step::Shutdown));
  return 0;
}

bool
EntryNode::Parts::IsReady() const
{
  return mEngine.Plan() != nullptr && mStore.Follower().HasCopy() &&
         mShutdown.Phase() == GracefulShutdownPhase::Serving;
}

void
EntryNode::Parts::OnGossip(const GossipMessage& aMessage)
{
  mMetrics.Add(Counter::HeartbeatsReceived);
  const Instant now = mLoop->Now();
  for (const PoisonObservation& report : mGossip.Receive(aMessage, now)) {
    mEngine.OnPoisonObservation(report, now);
  }
  for (const PoisonConviction& conviction : aMessage.mPoisonConvictions) {
    mEngine.OnPoisonConviction(conviction, now);
  }
  LogPoisonNotices();
  for (const NodeStatus& status : aMessage.mStatuses) {
    mStore.OnPeerPosition(status.Position());
    mEngine.Peers().OnPlanVersion(status.mIdentity.mName, status.mPlanVersion);
    mNewestPlanVersion = std::max(mNewestPlanVersion, status.mPlanVersion);
  }
}

void
EntryNode::Parts::SendGossip(
  const std::vector<GossipTable::Datagram>& aDatagrams)
{
  for (const GossipTable::Datagram& datagram : aDatagrams) {
    const std::size_t bytes = mGossipPort->Send(datagram);
    mMetrics.AddTraffic(TrafficCause::Heartbeat,
                        bytes *
                          mGossip.CountInOtherDomains(datagram.mReceivers));
  }
}

void
EntryNode::Parts::OnGossipTick()
{
  const Instant now = mLoop->Now();
  UpdateOwnStatus();
  mGossip.SetUsedMillicores(mCpuUsage.Millicores(now));
  mGossip.SetPoisonConvictions(mEngine.PoisonConvictions(now));
  SendGossip(mGossip.Round(now));
  OnRestoreTick(now);
  UpdateAdvertisedNodes(now);
  mEngine.SetNodes(mRecentlyAdvertised.Current(now), mSelf.mName);
  mGossipTimer.Start(GossipTable::Settings().mPeriod);
}

void
EntryNode::Parts::UpdateAdvertisedNodes(Instant aNow)
{
  const std::vector<NodeStatus> advertised =
    AdvertisementPolicy::Choose(mGossip.ServingNodes(aNow));
  mRecentlyAdvertised.OnAdvertised(advertised, aNow);
  UpdateGatherPeers(advertised);
  UpdateQuotaNodes(advertised);
  mRollouts.OnNodesChanged();
  const StoreWatchRole::Role watchRole =
    StoreWatchRole::Choose(StoreWatchRole::Inputs{ mSelf.mName,
                                                   mGossip.AliveCount(aNow),
                                                   advertised,
                                                   mGossip.StoreAge(aNow),
                                                   aNow - mStartTime });
  mStore.SetSource(watchRole.mSource, watchRole.mWatchTimeout);
  const bool isAdvertised = std::any_of(
    advertised.begin(), advertised.end(), [&](const NodeStatus& aNode) {
      return aNode.mIdentity.mName == mSelf.mName;
    });
  const GossipRole before = mGossip.Self().mGossipRole;
  mGossip.SetGossipRole(isAdvertised ? GossipRole::Direct
                                     : GossipRole::Relayed);
  if (mGossip.Self().mGossipRole != before) {
    SendGossip(mGossip.Announce(AnnouncementScope::GossipPeers, aNow));
  }
}

void
EntryNode::Parts::UpdateGatherPeers(const std::vector<NodeStatus>& aAdvertised)
{
  std::vector<PeerNode> peers;
  mGatherAddresses.clear();
  for (const NodeStatus& node : aAdvertised) {
    if (node.mIdentity.mName == mSelf.mName || node.mGatherAddress.mPort == 0) {
      continue;
    }
    peers.push_back(PeerNode{ node.mIdentity.mName,
                              node.mDomain,
                              node.mCpuMillicores,
                              node.mPlanVersion });
    mGatherAddresses.emplace(node.mIdentity.mName, node.mGatherAddress);
  }
  mEngine.Peers().SetNodes(peers);
}

void
EntryNode::Parts::UpdateQuotaNodes(const std::vector<NodeStatus>& aAdvertised)
{
  if (!mEngine.Plan() || mEngine.Plan()->Tenants().empty()) {
    return;
  }
  std::vector<NodeName> names;
  mPeerAddresses.clear();
  for (const NodeStatus& node : aAdvertised) {
    names.push_back(node.mIdentity.mName);
    mPeerAddresses.emplace(node.mIdentity.mName, node.mPeerAddress);
  }
  const Instant now = mLoop->Now();
  mQuota.SetNodes(names, [&](const NodeName& aNode) {
    return aNode == mSelf.mName || mGossip.IsAlive(aNode, now);
  });
}

void
EntryNode::Parts::UpdateOwnStatus()
{
  std::optional<Duration> storeAge;
  if (mStore.Follower().LastResponse().has_value()) {
    storeAge = mLoop->Now() - *mStore.Follower().LastResponse();
  }
  mGossip.SetVersions(mStore.Follower().Mirror().Position(),
                      storeAge,
                      mEngine.Plan() ? mEngine.Plan()->Version()
                                     : PlanVersion(),
                      mEntryState.Intent().RevisionInForce());
  mGossip.SetServingState(mShutdown.Phase() != GracefulShutdownPhase::Serving
                            ? ServingState::Leaving
                          : IsReady() ? ServingState::Serving
                                      : ServingState::Starting);
}

void
EntryNode::Parts::OnStoreChanges(const StoreMirror::Changes& aChanges)
{
  const bool wasReady = IsReady();
  const ServingPlanPointer planBefore = mEngine.Plan();
  const Revision before = mEntryState.Intent().RevisionInForce();
  mRollouts.OnStoreChanges(aChanges, mStore.Follower().RestoredAt());
  mEntryState.Apply(aChanges, mStore.Follower(), mLoop->Now());
  ScheduleRemoval();
  const std::string nodes = platform::OwnKeyText("nodes/");
  std::vector<NodeName> registered;
  for (auto ownKey = mEntryState.OwnKeys().lower_bound(nodes);
       ownKey != mEntryState.OwnKeys().end() &&
       ownKey->first.starts_with(nodes);
       ++ownKey) {
    const Result<SocketAddress> address = ParseSocketAddress(ownKey->second);
    if (!IsError(address)) {
      mGossip.AddSeed(ValueOf(address));
      registered.emplace_back(ownKey->first.substr(nodes.size()));
    }
  }
  if (!wasReady && IsReady()) {
    mRecentlyAdvertised.OnRegistered(registered, mLoop->Now());
  }
  if (mEntryState.Intent().RevisionInForce() > before) {
    mOperatorState.Applied().emit();
  }
  if (mEngine.Plan() && mCallerListener) {
    mCallerListener->SetLimits(LimitsOf(mEngine.Plan()->Limits()));
  }
  if ((!wasReady && IsReady()) || mEngine.Plan() != planBefore) {
    // Nodes of other domains send callers here and delegate shards by the same
    // plan from now on.
    UpdateOwnStatus();
    SendGossip(mGossip.Announce(AnnouncementScope::GossipPeers, mLoop->Now()));
  } else if (!aChanges.empty()) {
    // Peers may fetch these changes from this node, so they are announced
    // without waiting for the next round.
    UpdateOwnStatus();
    if (!mAnnounceTimer.IsRunning()) {
      mAnnounceTimer.Start(kAnnounceDelay);
    }
  }
  ScheduleEngine();
}

void
EntryNode::Parts::RemoveDueTargets()
{
  mEntryState.OnTime(mLoop->Now());
  ScheduleRemoval();
}

void
EntryNode::Parts::ScheduleRemoval()
{
  const std::optional<Instant> next = mEntryState.NextRemoval();
  if (next.has_value()) {
    mRemovalTimer.Start(*next - mLoop->Now());
  } else {
    mRemovalTimer.Stop();
  }
}

void
EntryNode::Parts::OnOperatorTick()
{
  mOperatorPort->OnTick();
  mOperatorTimer.Start(kOperatorTickInterval);
}

void
EntryNode::Parts::OnSettingsChanged()
{
  const Result<Settings> settings = LoadSettings(mCommandLine);
  if (IsError(settings)) {
    mLogger.Log(
      LogEvent(EventNumber::SettingsRefused).WithError(ErrorOf(settings)));
    return;
  }
  mSettings = ValueOf(settings);
  const ForwardSettings engineSettings = EngineSettings(mSettings, mSelf);
  mEngine.SetBudgetLimits(engineSettings.mBudgetLimits);
  mEngine.SetLoadAdmission(engineSettings.mLoadAdmission);
  mQuota.SetRule(QuotaRuleOf(mSettings));
  mRollouts.SetRule(RolloutRuleOf(mSettings));
  mLogger.Log(LogEvent(EventNumber::SettingsReloaded).At(Step::Settings));
}

void
EntryNode::Parts::OnStop()
{
  if (mShutdown.Phase() != GracefulShutdownPhase::Serving) {
    return;
  }
  const Instant now = mLoop->Now();
  mLogger.Log(LogEvent(EventNumber::ShutdownStarted).At(Step::Shutdown));
  mShutdown.OnStop(now);
  UpdateOwnStatus();
  SendGossip(mGossip.Announce(AnnouncementScope::AllNodes, now));
  Perform(mEngine.SetExit(*mShutdown.LatestExit(), now));
  OnShutdownTick();
}

void
EntryNode::Parts::OnShutdownTick()
{
  const GracefulShutdownPhase before = mShutdown.Phase();
  const GracefulShutdownPhase phase = mShutdown.Advance(
    mCallerListener->ConnectionCount(),
    mEngine.RunningRequests() + mQuota.size() + mOperatorPort->InFlightCalls(),
    mLoop->Now());
  if (before != phase && phase == GracefulShutdownPhase::Closing) {
    mCallerListener->StopAccepting();
  }
  if (phase == GracefulShutdownPhase::Done) {
    mLoop->Stop();
    return;
  }
  mShutdownTimer.Start(kShutdownCheckInterval);
}

void
EntryNode::Parts::Perform(ForwardActions aActions)
{
  for (ForwardAction& action : aActions) {
    std::visit(
      Overloaded{
        [this](const SendAction& aSend) {
          mCpuUsage.OnSent();
          mMetrics.Add(Counter::SubQueriesSent);
          mPool.Send(aSend);
        },
        [this](const CancelAction& aCancel) { mPool.Cancel(aCancel.mAttempt); },
        [this](AnswerAction& aAnswer) { Answer(std::move(aAnswer)); },
        [this](const DelegateAction& aDelegate) { Delegate(aDelegate); },
        [this](const CancelDelegationAction& aCancellation) {
          mGatherPort->CancelDelegation(aCancellation);
        },
        [this](const ReportAction& aReport) { mGatherPort->Report(aReport); } },
      action);
  }
  for (const PoisonObservation& report : mEngine.TakePoisonObservations()) {
    mGossip.AddPoisonObservation(report, mLoop->Now());
  }
  LogPoisonNotices();
  for (const GateNotice& notice : mEngine.TakeGateNotices()) {
    mMetrics.Add(Counter::TargetHoldChanges);
    LogGateNotice(notice, &mLogger);
  }
  mStore.RequestKnownAsOf(mEngine.ListNeededAsOf());
  ScheduleEngine();
}

void
EntryNode::Parts::LogPoisonNotices()
{
  for (const PoisonNotice& notice : mEngine.TakePoisonNotices()) {
    mMetrics.Add(notice.mChange == PoisonChange::Convicted
                   ? Counter::PoisonConvictions
                   : Counter::PoisonObservations);
    LogPoisonNotice(notice, &mLogger);
  }
}

void
EntryNode::Parts::ScheduleEngine()
{
  const std::optional<Instant> next = mEngine.NextWake();
  if (next.has_value()) {
    mEngineTimer.Start(*next - mLoop->Now());
  } else {
    mEngineTimer.Stop();
  }
}

Result<std::unique_ptr<EntryNode>>
EntryNode::Create(const CommandLine& aCommandLine, const Settings& aSettings)
{
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (IsError(loop)) {
    return ErrorOf(loop);
  }
  Result<std::unique_ptr<GossipPort>> gossip =
    GossipPort::Create(*ValueOf(loop), aSettings.PeerAddress());
  if (IsError(gossip)) {
    return ErrorOf(gossip);
  }
  std::unique_ptr<Parts> parts =
    std::make_unique<Parts>(aCommandLine,
                            aSettings,
                            ReleaseValue(std::move(loop)),
                            ReleaseValue(std::move(gossip)));
  const Result<Success> listening = parts->Listen();
  if (IsError(listening)) {
    return ErrorOf(listening);
  }
  return std::unique_ptr<EntryNode>(new EntryNode(std::move(parts)));
}

EntryNode::EntryNode(std::unique_ptr<Parts> aParts)
  : mParts(std::move(aParts))
{
}

EntryNode::~EntryNode() = default;

int
EntryNode::Run()
{
  return mParts->Run();
}

} // namespace verbenachute
