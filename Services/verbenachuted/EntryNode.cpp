#include "EntryNodeParts.h"

#include "EntrySettings.h"

#include <platform/KeyWire.h>

#include <LibCore/Overloaded.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibEntry/StoreDuty.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kDeparturePause = milliseconds(50);
constexpr Duration kIdleCheckPause = milliseconds(500);
constexpr Duration kOperatorPause = seconds(1);
// Changes of the store within this time are told to peers in one message.
constexpr Duration kAnnouncePause = milliseconds(20);

NodeIdentity
NewLife(const Settings& aSettings)
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
  , mSelf(NewLife(aSettings))
  , mLoop(std::move(aLoop))
  , mLogger({ aSettings.Name() }, mLoop->SystemTime())
  , mEngine(EngineSettings(aSettings, mSelf))
  , mKnowledge(mEngine, mLogger, aSettings.Domains(), aSettings.HomeRegion())
  , mGossip(GossipSettings(mSelf), NewsOf(aSettings, mSelf))
  , mGossipPort(std::move(aGossipPort))
  , mPool(
      *mLoop,
      [this](AttemptId aAttempt, PartReply aReply) {
        Perform(mEngine.OnReply(aAttempt, std::move(aReply), mLoop->Now()));
      },
      [this](AttemptId aAttempt, AttemptFailure aFailure) {
        Perform(mEngine.OnFailure(aAttempt, aFailure, mLoop->Now()));
      })
  , mStore(
      aSettings.Name(),
      aSettings.PlatformAddress(),
      { *mLoop,
        mLogger,
        [this](StoreRevision aNewerThan) {
          const NodeNews* peer = mGossip.Informed(aNewerThan, mLoop->Now());
          return peer == nullptr ? std::nullopt
                                 : std::optional(peer->mPeerAddress);
        },
        [this](const StoreMirror::Changes& aChanges) { OnKnowledge(aChanges); },
        mMetrics })
  , mKeys(*mLoop, aSettings.PlatformAddress())
  , mSteering(mSelf, { mKnowledge, mGossip, mStore.Follower() })
  , mDeparture(DepartureSettings(aSettings))
  , mSettingsWatch(*mLoop,
                   aCommandLine.mSettingsFile,
                   [this]() { OnSettingsChanged(); })
  , mEngineTimer(*mLoop, [this]() { Perform(mEngine.OnTime(mLoop->Now())); })
  , mGossipTimer(*mLoop, [this]() { OnGossipTick(); })
  , mAnnounceTimer(*mLoop,
                   [this]() {
                     mGossipPort->Send(
                       mGossip.Announce(GossipSpread::AsRounds, mLoop->Now()));
                   })
  , mDepartureTimer(*mLoop, [this]() { OnDepartureTick(); })
  , mIdleTimer(*mLoop,
               [this]() {
                 mPool.CloseIdle();
                 mKnowledge.OnTime(mLoop->Now());
                 mNewsShelf.OnTime(mLoop->Now());
                 mLogger.ReportSuppressed();
                 mIdleTimer.Start(kIdleCheckPause);
               })
  , mOperatorTimer(*mLoop, [this]() { OnOperatorTick(); })
{
  mStarted = mLoop->Now();
  mEngine.SetNodes({ mSelf.mName }, mSelf.mName);
  for (const SocketAddress& seed : aSettings.Seeds()) {
    // Seeds name another port of the same nodes; ports are alike on all.
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
  mIdleTimer.Start(kIdleCheckPause);
  mOperatorTimer.Start(kOperatorPause);
  mLoop->Run();
  mLogger.Log(LogEvent(EventNumber::ShutdownFinished).At(Step::Shutdown));
  return 0;
}

bool
EntryNode::Parts::IsReady() const
{
  return mEngine.Plan() != nullptr && mStore.Follower().HasCopy() &&
         mDeparture.Phase() == DeparturePhase::Serving;
}

void
EntryNode::Parts::OnGossip(const GossipMessage& aMessage)
{
  mMetrics.Add(Counter::HeartbeatsReceived);
  const Instant now = mLoop->Now();
  for (const PoisonStrike& strike : mGossip.Receive(aMessage, now)) {
    mEngine.OnStrike(strike, now);
  }
  for (const NodeNews& news : aMessage.mNews) {
    mStore.OnPeerRevision(news.mStore);
    mEngine.Peers().OnPlan(news.mIdentity.mName, news.mPlan);
  }
}

void
EntryNode::Parts::OnGossipTick()
{
  const Instant now = mLoop->Now();
  UpdateService();
  mGossip.SetUsed(mLoad.Used(now));
  mGossipPort->Send(mGossip.Round(now));
  NoteCarriers(now);
  mEngine.SetNodes(mSenders.Senders(now), mSelf.mName);
  mGossipTimer.Start(GossipTable::Settings().mPeriod);
}

void
EntryNode::Parts::NoteCarriers(Instant aNow)
{
  const std::vector<NodeNews> carriers =
    OfferPolicy::Choose(mGossip.Offered(aNow));
  mSenders.OnNamed(carriers, aNow);
  NotePeers(carriers);
  const StoreDuty::Duty duty =
    StoreDuty::Decide(StoreDuty::Facts{ mSelf.mName,
                                        mGossip.Living(aNow),
                                        carriers,
                                        mGossip.StoreAge(aNow),
                                        aNow - mStarted });
  mStore.SetSource(duty.mSource, duty.mWatchWait);
  const bool carries =
    std::any_of(carriers.begin(), carriers.end(), [&](const NodeNews& aNode) {
      return aNode.mIdentity.mName == mSelf.mName;
    });
  const NodeReach before = mGossip.Self().mReach;
  mGossip.SetReach(carries ? NodeReach::All : NodeReach::Some);
  if (mGossip.Self().mReach != before) {
    mGossipPort->Send(mGossip.Announce(GossipSpread::AsRounds, aNow));
  }
}

void
EntryNode::Parts::NotePeers(const std::vector<NodeNews>& aCarriers)
{
  std::vector<PeerNode> peers;
  mGatherAddresses.clear();
  for (const NodeNews& node : aCarriers) {
    if (node.mIdentity.mName == mSelf.mName || node.mGatherAddress.mPort == 0) {
      continue;
    }
    peers.push_back(
      PeerNode{ node.mIdentity.mName, node.mDomain, node.mPower, node.mPlan });
    mGatherAddresses.emplace(node.mIdentity.mName, node.mGatherAddress);
  }
  mEngine.Peers().SetNodes(peers);
}

void
EntryNode::Parts::UpdateService()
{
  std::optional<Duration> storeAge;
  if (mStore.Follower().LastAnswer().has_value()) {
    storeAge = mLoop->Now() - *mStore.Follower().LastAnswer();
  }
  mGossip.SetKnowledge(mStore.Follower().Mirror().At(),
                       storeAge,
                       mEngine.Plan() ? mEngine.Plan()->Version()
                                      : PlanVersion(),
                       mKnowledge.Intent().RevisionInForce());
  mGossip.SetService(mDeparture.Phase() != DeparturePhase::Serving
                       ? NodeService::Leaving
                     : IsReady() ? NodeService::Serving
                                 : NodeService::Starting);
}

void
EntryNode::Parts::OnKnowledge(const StoreMirror::Changes& aChanges)
{
  const bool wasReady = IsReady();
  const Revision before = mKnowledge.Intent().RevisionInForce();
  mKnowledge.Apply(aChanges, mStore.Follower(), mLoop->Now());
  const std::string nodes = platform::OwnKeyText("nodes/");
  std::vector<NodeName> registered;
  for (auto own = mKnowledge.OwnKeys().lower_bound(nodes);
       own != mKnowledge.OwnKeys().end() && own->first.starts_with(nodes);
       ++own) {
    const Result<SocketAddress> address = ParseSocketAddress(own->second);
    if (!IsError(address)) {
      mGossip.AddSeed(ValueOf(address));
      registered.emplace_back(own->first.substr(nodes.size()));
    }
  }
  if (!wasReady && IsReady()) {
    mSenders.OnRegistered(registered, mLoop->Now());
  }
  if (mKnowledge.Intent().RevisionInForce() > before) {
    mSteering.Applied().emit();
  }
  if (mEngine.Plan() && mCallerListener) {
    mCallerListener->SetLimits(LimitsOf(mEngine.Plan()->Limits()));
  }
  // Others may learn of this from here, so they are told soon.
  if (!aChanges.empty() || (!wasReady && IsReady())) {
    UpdateService();
    if (!mAnnounceTimer.IsRunning()) {
      mAnnounceTimer.Start(kAnnouncePause);
    }
  }
  ScheduleEngine();
}

void
EntryNode::Parts::OnOperatorTick()
{
  mOperatorPort->OnTick();
  mOperatorTimer.Start(kOperatorPause);
}

void
EntryNode::Parts::OnSettingsChanged()
{
  const Result<Settings> settings = LoadSettings(mCommandLine);
  if (IsError(settings)) {
    mLogger.Log(
      LogEvent(EventNumber::SettingsRefused).Because(ErrorOf(settings)));
    return;
  }
  mSettings = ValueOf(settings);
  mEngine.SetExtraLimits(EngineSettings(mSettings, mSelf).mExtra);
  mLogger.Log(LogEvent(EventNumber::SettingsReloaded).At(Step::Settings));
}

void
EntryNode::Parts::OnStop()
{
  if (mDeparture.Phase() != DeparturePhase::Serving) {
    return;
  }
  const Instant now = mLoop->Now();
  mLogger.Log(LogEvent(EventNumber::ShutdownStarted).At(Step::Shutdown));
  mDeparture.OnStop(now);
  UpdateService();
  mGossipPort->Send(mGossip.Announce(GossipSpread::Everyone, now));
  OnDepartureTick();
}

void
EntryNode::Parts::OnDepartureTick()
{
  const DeparturePhase before = mDeparture.Phase();
  const DeparturePhase phase =
    mDeparture.Advance(mCallerListener->ConnectionCount(),
                       mEngine.Running() + mOperatorPort->InHand(),
                       mLoop->Now());
  if (before != phase && phase == DeparturePhase::Closing) {
    mCallerListener->StopAccepting();
  }
  if (phase == DeparturePhase::Done) {
    mLoop->Stop();
    return;
  }
  mDepartureTimer.Start(kDeparturePause);
}

void
EntryNode::Parts::Perform(ForwardActions aActions)
{
  for (ForwardAction& action : aActions) {
    std::visit(
      Overloaded{
        [this](const SendAction& aSend) {
          mLoad.OnSent();
          mMetrics.Add(Counter::SubQueriesSent);
          mPool.Send(aSend);
        },
        [this](const CancelAction& aCancel) { mPool.Cancel(aCancel.mAttempt); },
        [this](const AnswerAction& aAnswer) { Answer(aAnswer); },
        [this](const DelegateAction& aDelegate) { Delegate(aDelegate); },
        [this](const RecallAction& aRecall) { mGatherPort->Recall(aRecall); },
        [this](const ReportAction& aReport) { mGatherPort->Report(aReport); } },
      action);
  }
  for (const PoisonStrike& strike : mEngine.TakeStrikes()) {
    mGossip.AddStrike(strike);
  }
  ScheduleEngine();
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
                            TakeValue(std::move(loop)),
                            TakeValue(std::move(gossip)));
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
