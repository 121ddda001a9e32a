#include "EntryNode.h"

#include "EntrySettings.h"
#include "EntrySteering.h"
#include "GossipPort.h"
#include "OperatorPort.h"
#include "OutcomeLog.h"
#include "SettingsWatch.h"
#include "StoreKeys.h"
#include "StoreLink.h"
#include "TargetPool.h"

#include <platform/KeyWire.h>
#include <platform/RequestWire.h>

#include <LibCore/Overloaded.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibEntry/EntryKnowledge.h>
#include <LibEntry/LoadMeter.h>
#include <LibEntry/NodeDeparture.h>
#include <LibEntry/OfferPolicy.h>
#include <LibEntry/OutcomeMetrics.h>
#include <LibEntry/StoreDuty.h>
#include <LibHttp/HttpListener.h>
#include <LibObservation/BoostLogger.h>

#include <algorithm>
#include <cstdlib>
#include <unordered_map>
#include <utility>

namespace verbenachute {

namespace {

constexpr int kDecimal = 10;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
constexpr Duration kDeparturePause = milliseconds(50);
constexpr Duration kIdleCheckPause = milliseconds(500);
constexpr Duration kOperatorPause = seconds(1);
// Addresses in one answer of the directory.
constexpr std::size_t kMostAddresses = 64;

NodeIdentity
NewLife(const Settings& aSettings)
{
  const SystemClock clock;
  return NodeIdentity{ aSettings.Name(),
                       Incarnation(static_cast<std::uint64_t>(
                         clock.WallTime().count())) };
}

} // namespace

/// The parts of a node, in the order in which they depend on each other.
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

  struct OpenCall
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
  void OnKnowledge(const StoreMirror::Changes& aChanges);
  void OnOperatorTick();
  void OnSettingsChanged();
  void OnStop();
  void OnDepartureTick();
  void Perform(ForwardActions aActions);
  void Answer(const AnswerAction& aAction);
  void ScheduleEngine();
  /// Takes note of the nodes that callers are sent to.
  void NoteCarriers(Instant aNow);
  void UpdateService();
  void TellMetrics(const CallPointer& aCall);
  [[nodiscard]] bool IsReady() const;
  [[nodiscard]] AfterResponse AfterThis() const;

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
  StoreLink mStore;
  StoreKeys mKeys;
  EntrySteering mSteering;
  std::unique_ptr<OperatorPort> mOperatorPort;
  SenderWatch mSenders;
  LoadMeter mLoad;
  NodeDeparture mDeparture;
  SettingsWatch mSettingsWatch;
  Timer mEngineTimer;
  Timer mGossipTimer;
  Timer mDepartureTimer;
  Timer mIdleTimer;
  Timer mOperatorTimer;
  std::unique_ptr<HttpListener> mCallerListener;
  std::unique_ptr<HttpListener> mDirectoryListener;
  std::unique_ptr<HttpListener> mReadyListener;
  std::unique_ptr<HttpListener> mPeerListener;
  std::unordered_map<RequestNumber, OpenCall> mCalls;
  std::uint64_t mNextNumber = 1;
  Instant mStarted;
};

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
  , mDepartureTimer(*mLoop, [this]() { OnDepartureTick(); })
  , mIdleTimer(*mLoop,
               [this]() {
                 mPool.CloseIdle();
                 mKnowledge.OnTime(mLoop->Now());
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

Result<Success>
EntryNode::Parts::Listen()
{
  struct Port
  {
    std::optional<SocketAddress> mAddress;
    std::unique_ptr<HttpListener>* mListener;
    void (Parts::*mHandler)(const CallPointer&);
  };
  const Port ports[] = {
    { mSettings.CallerAddress(), &mCallerListener, &Parts::OnCallerCall },
    { mSettings.DirectoryAddress(),
      &mDirectoryListener,
      &Parts::OnDirectoryCall },
    { mSettings.ReadyAddress(), &mReadyListener, &Parts::OnReadyCall },
    { mSettings.PeerAddress(), &mPeerListener, &Parts::OnPeerCall },
  };
  for (const Port& port : ports) {
    if (!port.mAddress.has_value()) {
      continue;
    }
    Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
      *mLoop,
      *port.mAddress,
      ServerLimits(),
      [this, handler = port.mHandler](const CallPointer& aCall) {
        (this->*handler)(aCall);
      });
    if (IsError(listener)) {
      return ErrorOf(listener);
    }
    *port.mListener = TakeValue(std::move(listener));
  }
  Result<std::unique_ptr<OperatorPort>> operators = OperatorPort::Create(
    mSelf, mSettings.OperatorAddress(), { *mLoop, mKeys, mSteering });
  if (IsError(operators)) {
    return ErrorOf(operators);
  }
  mOperatorPort = TakeValue(std::move(operators));
  return Success();
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

AfterResponse
EntryNode::Parts::AfterThis() const
{
  return mDeparture.Phase() == DeparturePhase::Serving ? AfterResponse::KeepOpen
                                                       : AfterResponse::Close;
}

void
EntryNode::Parts::OnCallerCall(const CallPointer& aCall)
{
  mMetrics.Add(Counter::QueriesReceived);
  const RequestNumber number(mNextNumber++);
  // A new connection took the caller a round trip before it could send.
  const Duration connecting = 2 * ForwardSettings().mCallerDelay;
  const CallerRequestPointer request =
    platform::ReadCallerRequest(aCall.get(), connecting);
  mCalls.emplace(number, OpenCall{ aCall, request });
  aCall->CallerGone().connect([this, number]() {
    mCalls.erase(number);
    Perform(mEngine.OnCallerGone(number, mLoop->Now()));
  });
  Perform(mEngine.Submit(number, request, mLoop->Now()));
}

void
EntryNode::Parts::OnDirectoryCall(const CallPointer& aCall)
{
  const std::optional<platform::AddressQuestion> question =
    platform::ReadAddressQuestion(*aCall);
  if (!question.has_value()) {
    aCall->Respond(kNotFound, HttpFields(), "");
    return;
  }
  std::vector<SocketAddress> addresses;
  for (const NodeNews& node :
       OfferPolicy::Choose(mGossip.Offered(mLoop->Now()))) {
    addresses.push_back(node.mCallerAddress);
  }
  addresses.resize(std::min(addresses.size(), kMostAddresses));
  if (addresses.empty()) {
    aCall->Respond(kUnavailable, HttpFields(), "");
    return;
  }
  mMetrics.Add(Counter::AddressAnswers);
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  aCall->Respond(
    kOk,
    fields,
    platform::AddressAnswer(addresses, mSettings.AddressValidity()));
}

void
EntryNode::Parts::OnReadyCall(const CallPointer& aCall)
{
  const bool asked = platform::IsReadinessQuestion(*aCall);
  aCall->Respond(!asked      ? kNotFound
                 : IsReady() ? kOk
                             : kUnavailable,
                 HttpFields(),
                 "");
}

void
EntryNode::Parts::OnPeerCall(const CallPointer& aCall)
{
  const StoreMirror& mirror = mStore.Follower().Mirror();
  const std::string path = aCall->mTarget.substr(0, aCall->mTarget.find('?'));
  if (path == "/metrics") {
    TellMetrics(aCall);
    return;
  }
  if ((path != "/copy" && path != "/changes") || !mStore.Follower().HasCopy()) {
    aCall->Respond(kUnavailable, HttpFields(), "");
    return;
  }
  std::optional<StoreChanges> changes;
  if (path == "/changes") {
    changes = mirror.Since(StoreRevision(std::strtoull(
      QueryParameter(aCall->mTarget, "after").c_str(), nullptr, kDecimal)));
  }
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  aCall->Respond(kOk,
                 fields,
                 changes.has_value()
                   ? platform::EncodeChanges(*changes)
                   : platform::EncodeCopy(mirror.Items(), mirror.At()));
}

void
EntryNode::Parts::TellMetrics(const CallPointer& aCall)
{
  mMetrics.Set(Gauge::QueriesInHand, mEngine.Running());
  mMetrics.Set(Gauge::MembersAlive, mGossip.Living(mLoop->Now()));
  mMetrics.Set(Gauge::ConfigurationRevision,
               mKnowledge.Intent().RevisionInForce().value());
  HttpFields fields;
  fields.Add("Content-Type", "text/plain; version=0.0.4");
  aCall->Respond(kOk, fields, mMetrics.Exposition());
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
    mGossipPort->Send(mGossip.Announce(aNow));
  }
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
  for (auto own = mKnowledge.OwnKeys().lower_bound(nodes);
       own != mKnowledge.OwnKeys().end() && own->first.starts_with(nodes);
       ++own) {
    const Result<SocketAddress> address = ParseSocketAddress(own->second);
    if (!IsError(address)) {
      mGossip.AddSeed(ValueOf(address));
    }
  }
  if (mKnowledge.Intent().RevisionInForce() > before) {
    mSteering.Applied().emit();
  }
  if (mEngine.Plan() && mCallerListener) {
    mCallerListener->SetLimits(LimitsOf(mEngine.Plan()->Limits()));
  }
  // Others may learn of this from here, so they are told at once.
  if (!aChanges.empty() || (!wasReady && IsReady())) {
    UpdateService();
    mGossipPort->Send(mGossip.Announce(mLoop->Now()));
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
  mGossipPort->Send(mGossip.Announce(now));
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
        [this](const AnswerAction& aAnswer) { Answer(aAnswer); } },
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

void
EntryNode::Parts::Answer(const AnswerAction& aAction)
{
  const auto found = mCalls.find(aAction.mNumber);
  if (found == mCalls.end()) {
    return;
  }
  const OpenCall open = std::move(found->second);
  mCalls.erase(found);
  LogOutcome(aAction, open.mRequest->mId, &mLogger);
  CountOutcome(aAction, open.mRequest->mCaller, &mMetrics);
  platform::AnswerCaller(
    open.mCall.get(), *open.mRequest, aAction.mOutcome, AfterThis());
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
