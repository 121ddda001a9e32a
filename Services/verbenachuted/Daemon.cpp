#include "Daemon.h"

#include "CallerPort.h"
#include "ConfigurationService.h"
#include "CountingPlatform.h"
#include "DispatchService.h"
#include "HolderOperatorState.h"
#include "LeaseService.h"
#include "MembershipService.h"
#include "OnceService.h"
#include "OperatorPort.h"
#include "QueryService.h"
#include "ShutdownService.h"
#include "StateService.h"

#include <LibControl/ControlServer.h>
#include <LibControl/LeaseCodec.h>
#include <LibCore/SocketAddressText.h>
#include <LibObservation/BoostLogger.h>
#include <LibPlatform/PlatformClient.h>
#include <LibTransport/EventLoop.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace verbenachute {

namespace {

// Attempts are numbered from the incarnation, so that an answer that was
// meant for an earlier life of this node matches none of this life.
constexpr unsigned kLifeShift = 20;

NodeIdentity
NewLife(const Settings& aSettings)
{
  const SystemClock clock;
  return NodeIdentity{ aSettings.Name(),
                       Incarnation(static_cast<std::uint64_t>(
                         clock.WallTime().count())) };
}

MemberDescription
DescriptionOf(const Settings& aSettings, const NodeIdentity& aSelf)
{
  MemberDescription description;
  description.mIdentity = aSelf;
  description.mCallerAddress = aSettings.CallerAddress();
  description.mPeerAddress = aSettings.PeerAddress();
  description.mOperatorAddress = aSettings.OperatorAddress();
  description.mDomain = aSettings.HomeDomain();
  description.mRegion = aSettings.HomeRegion();
  return description;
}

HedgeMode
HedgeModeOf(const std::string& aName)
{
  if (aName == "none") {
    return HedgeMode::None;
  }
  return aName == "fixed" ? HedgeMode::Fixed : HedgeMode::Adaptive;
}

QueryEngineSettings
EngineSettings(const Settings& aSettings, const NodeIdentity& aSelf)
{
  const std::uint64_t first = aSelf.mIncarnation.value() << kLifeShift;
  QueryEngineSettings settings;
  settings.mAdmission.mMaximumRunning = aSettings.QueryLimit();
  settings.mHedge.mMode = HedgeModeOf(aSettings.HedgePolicyName());
  settings.mBudget.mRefill = aSettings.ExtraLoadPerMille();
  settings.mSeed = aSelf.mIncarnation.value();
  settings.mFirstQuery = QueryId(first);
  settings.mFirstAttempt = AttemptId(first);
  return settings;
}

OnceTable::Settings
OnceSettings(const Settings& aSettings)
{
  OnceTable::Settings settings;
  settings.mTickets.mValidity = aSettings.TicketValidity();
  return settings;
}

AddressAnswerer::Settings
AddressSettings(const Settings& aSettings)
{
  AddressAnswerer::Settings settings;
  settings.mValidity = aSettings.AddressValidity();
  settings.mTicketValidity = aSettings.TicketValidity();
  return settings;
}

LeavingProcess::Settings
ShutdownSettings(const Settings& aSettings, const MemberTable& aMembers)
{
  LeavingProcess::Settings settings;
  settings.mLongestOffer = aMembers.LongestOffer();
  settings.mAddressValidity = aSettings.AddressValidity();
  settings.mDrainLimit = aSettings.DrainLimit();
  return settings;
}

std::vector<MemberBuckets>
MasksOf(const std::vector<Bucket>& aBuckets)
{
  std::map<FailureDomain, std::uint16_t> masks;
  for (const Bucket& bucket : aBuckets) {
    masks[bucket.mDomain] |= static_cast<std::uint16_t>(1U << bucket.mIndex);
  }
  std::vector<MemberBuckets> result;
  result.reserve(masks.size());
  for (const std::pair<const FailureDomain, std::uint16_t>& mask : masks) {
    result.push_back(MemberBuckets{ mask.first, mask.second });
  }
  return result;
}

} // namespace

/// The parts of a node, in the order in which they depend on each other.
class Daemon::Parts
{
public:
  Parts(const Settings& aSettings,
        std::unique_ptr<EventLoop> aLoop,
        std::unique_ptr<PeerPort> aPeers,
        const NodeIdentity& aSelf);

  [[nodiscard]] Result<Success> OpenCallerPort();
  [[nodiscard]] Result<Success> OpenOperatorPort();
  [[nodiscard]] int Run();

private:
  /// The shards of the newest version of each service, for the check that a
  /// move leaves none without a target.
  [[nodiscard]] std::vector<CoverageGroup> ShardGroups();
  void ConnectConfiguration();
  void ConnectMembership();
  void ConnectControl();
  void OnTick();
  [[nodiscard]] std::size_t SuspectCount();
  void TellLeases();
  void UpdateSelf();
  void WriteHeartbeatReply(Json::Value& aOutput);
  void OnHeartbeatReply(const NodeName& aPeer,
                        const Json::Value& aReply,
                        Instant aAsked);

  Settings mSettings;
  NodeIdentity mSelf;
  std::unique_ptr<EventLoop> mLoop;
  BoostLogger mLogger;
  MetricsRegistry mMetrics;
  PlatformClient mPlatformClient;
  CountingPlatform mPlatform;
  std::unique_ptr<PeerPort> mPeers;
  MembershipService mMembership;
  ConfigurationService mConfiguration;
  LeaseService mLeases;
  DispatchService mDispatch;
  QueryService mQueries;
  StateService mStates;
  OnceService mOnce;
  AddressAnswerer mAddresses;
  ShutdownService mShutdown;
  HolderOperatorState mOperatorState;
  std::unique_ptr<CallerPort> mCallerPort;
  std::unique_ptr<OperatorPort> mOperatorPort;
  std::unique_ptr<ControlServer> mControl;
};

Daemon::Parts::Parts(const Settings& aSettings,
                     std::unique_ptr<EventLoop> aLoop,
                     std::unique_ptr<PeerPort> aPeers,
                     const NodeIdentity& aSelf)
  : mSettings(aSettings)
  , mSelf(aSelf)
  , mLoop(std::move(aLoop))
  , mLogger({ aSettings.Name() }, mLoop->SystemTime())
  , mPlatformClient(*mLoop, aSettings.PlatformAddress())
  , mPlatform(mPlatformClient, mMetrics)
  , mPeers(std::move(aPeers))
  , mMembership(DescriptionOf(aSettings, aSelf),
                aSettings.Seeds(),
                { *mLoop, *mPeers, mPlatform, mLogger, mMetrics })
  , mConfiguration(aSettings.Name(),
                   { *mLoop, *mPeers, mMembership, mPlatform, mLogger })
  , mLeases(aSelf,
            aSettings.HomeRegion(),
            LeaseSettings(),
            { *mLoop, *mPeers, mMembership, mPlatform, mLogger })
  , mDispatch(*mLoop, aSelf, DispatchSettings(), mLeases, mLogger)
  , mQueries(EngineSettings(aSettings, aSelf),
             { *mLoop, *mPeers, mDispatch, mLeases, mMembership, mMetrics })
  , mStates(aSelf, { *mLoop, *mPeers, mMembership, mDispatch, mQueries })
  , mOnce(aSelf,
          OnceSettings(aSettings),
          { *mLoop, *mPeers, mMembership, mQueries, mMetrics, mLogger })
  , mAddresses(AddressSettings(aSettings))
  , mShutdown(ShutdownSettings(aSettings, mMembership.Table()),
              { *mLoop, mMembership, mLeases, mDispatch, mOnce, mLogger })
  , mOperatorState(aSelf, { mConfiguration, mMembership, mLeases, [this]() {
                             return ShardGroups();
                           } })
{
  ConnectConfiguration();
  ConnectMembership();
  ConnectControl();
  mLoop->SignalArrived().connect([this](int) { mShutdown.OnSignal(); });
}

Result<Success>
Daemon::Parts::OpenCallerPort()
{
  Result<std::unique_ptr<CallerPort>> port =
    CallerPort::Create(mSettings.CallerAddress(),
                       { *mLoop,
                         mQueries,
                         mOnce,
                         mMembership,
                         mAddresses,
                         mMetrics,
                         mLogger,
                         [this]() { return mShutdown.Mode(); } });
  if (IsError(port)) {
    return ErrorOf(port);
  }
  mCallerPort = ReleaseValue(std::move(port));
  mShutdown.SetCallerPort(*mCallerPort);
  return Success();
}

Result<Success>
Daemon::Parts::OpenOperatorPort()
{
  Result<std::unique_ptr<OperatorPort>> port =
    OperatorPort::Create(mSelf,
                         mSettings.OperatorAddress(),
                         { *mLoop, mPlatform, mOperatorState, {} });
  if (IsError(port)) {
    return ErrorOf(port);
  }
  mOperatorPort = ReleaseValue(std::move(port));
  mShutdown.SetOperatorPort(*mOperatorPort);
  return Success();
}

std::vector<CoverageGroup>
Daemon::Parts::ShardGroups()
{
  std::vector<CoverageGroup> groups;
  const std::shared_ptr<const Configuration>& view =
    mConfiguration.Follower().InForce();
  if (view == nullptr) {
    return groups;
  }
  for (const std::pair<const ServiceName, std::vector<TargetName>>& service :
       view->Content().mTargets->Services()) {
    std::vector<CoverageGroup> shards = mQueries.ShardGroupsOf(service.first);
    std::move(shards.begin(), shards.end(), std::back_inserter(groups));
  }
  return groups;
}

int
Daemon::Parts::Run()
{
  mLogger.Log(LogEvent(EventNumber::DaemonStarted)
                .With("identity", NodeIdentityText(mSelf)));
  mMembership.Start();
  mConfiguration.Start();
  mLeases.Start();
  mOnce.Start();
  mLoop->Run();
  mLogger.Log(LogEvent(EventNumber::ShutdownFinished).At(Step::Shutdown));
  return mShutdown.ExitStatus();
}

void
Daemon::Parts::ConnectConfiguration()
{
  mConfiguration.Applied().connect(
    [this](const std::shared_ptr<const Configuration>& aConfiguration) {
      std::vector<FailureDomain> domains;
      for (const std::pair<const FailureDomain, DomainEntry>& domain :
           aConfiguration->Content().mDomains) {
        if (domain.second.mRegion == mSettings.HomeRegion()) {
          domains.push_back(domain.second.mName);
        }
      }
      mMetrics.Set(Gauge::ConfigurationRevision,
                   aConfiguration->CurrentRevision().value());
      mDispatch.OnConfiguration(aConfiguration);
      mQueries.OnConfiguration(aConfiguration);
      mLeases.OnRevision(aConfiguration->CurrentRevision());
      mLeases.OnDomains(domains);
      UpdateSelf();
    });
}

void
Daemon::Parts::ConnectMembership()
{
  mMembership.SetReplyWriter(
    [this](Json::Value& aOutput) { WriteHeartbeatReply(aOutput); });
  mMembership.ReplyArrived().connect(
    [this](const NodeName& aPeer, const Json::Value& aReply, Instant aAsked) {
      OnHeartbeatReply(aPeer, aReply, aAsked);
    });
  mMembership.Ticked().connect([this]() { OnTick(); });
  mMembership.MemberLost().connect(
    [this](const NodeIdentity& aMember) { mQueries.OnHolderLost(aMember); });
  mMembership.SelfReplaced().connect([this]() {
    // Two lives under one name would both answer for its tickets.
    mShutdown.EndNow();
  });
}

void
Daemon::Parts::ConnectControl()
{
  ControlMethods methods;
  methods.mHeartbeat = [this](const NodeIdentity&, const Json::Value& aInput) {
    return mMembership.AnswerHeartbeat(aInput);
  };
  methods.mLeaseRequest = [this](const NodeIdentity&,
                                 const Json::Value& aInput) {
    return mLeases.AnswerRequest(aInput);
  };
  methods.mLeaseRelease = [this](const NodeIdentity&,
                                 const Json::Value& aInput) {
    return mLeases.AnswerRelease(aInput);
  };
  methods.mReadConfiguration = [this](const NodeIdentity&,
                                      const Json::Value& aInput) {
    return mConfiguration.AnswerRead(aInput);
  };
  methods.mTargetStates = [this](const NodeIdentity& aPeer,
                                 const Json::Value& aInput) {
    return mStates.AnswerStates(aPeer, aInput);
  };
  methods.mPoisonReport = [this](const NodeIdentity&,
                                 const Json::Value& aInput) {
    return mStates.AnswerPoison(aInput);
  };
  mControl = std::make_unique<ControlServer>(std::move(methods));
  mPeers->SetControlHandler(
    [this](const NodeIdentity& aPeer, const std::string& aRequest) {
      return mControl->Answer(aPeer, aRequest);
    });
  mPeers->RequestArrived().connect(
    [this](const PeerPort::SessionHandle& aSession,
           const PeerMessage& aMessage) {
      if (const RelayedRequest* relayed =
            std::get_if<RelayedRequest>(&aMessage)) {
        mOnce.OnRelayedRequest(aSession, *relayed);
        return;
      }
      mDispatch.OnPeerMessage(aSession, aMessage);
    });
}

void
Daemon::Parts::OnTick()
{
  mLeases.OnTick();
  UpdateSelf();
  TellLeases();
  std::vector<NodeName> peers;
  for (const Member& member : mMembership.LivePeers()) {
    peers.push_back(member.mDescription.mIdentity.mName);
  }
  mConfiguration.OnPeers(peers);
  mStates.OnTick();
  mOperatorPort->OnTick();
  mMetrics.Set(Gauge::MembersAlive, peers.size() + 1);
  mMetrics.Set(Gauge::MembersSuspect, SuspectCount());
  mMetrics.Set(Gauge::QueriesInFlight, mQueries.QueryCount());
  mMetrics.Set(Gauge::SubQueriesInFlight, mDispatch.InHand());
  const std::uint64_t late = mQueries.LateAnswers();
  mMetrics.Add(Counter::LateAnswersDropped,
               late - mMetrics.Value(Counter::LateAnswersDropped));
  mMetrics.Set(Gauge::OnceEntries, mOnce.Table().Entries());
  mMetrics.Set(Gauge::OnceBytes, mOnce.Table().Bytes());
  mLogger.ReportSuppressed();
  mShutdown.OnTick();
}

std::size_t
Daemon::Parts::SuspectCount()
{
  const std::vector<Member> members = mMembership.Table().Members(mLoop->Now());
  return static_cast<std::size_t>(
    std::count_if(members.begin(), members.end(), [](const Member& aMember) {
      return aMember.mState == MemberState::Suspect;
    }));
}

void
Daemon::Parts::TellLeases()
{
  std::vector<LeaseMember> members;
  if (mShutdown.MayHoldBuckets()) {
    members.push_back(LeaseMember{ mSettings.Name(), mSettings.HomeDomain() });
  }
  for (const Member& member : mMembership.LivePeers()) {
    const MemberDescription& description = member.mDescription;
    if (description.mRegion == mSettings.HomeRegion() &&
        member.mState == MemberState::Alive) {
      members.push_back(
        LeaseMember{ description.mIdentity.mName, description.mDomain });
    }
  }
  mLeases.OnMembers(members, mMembership.ListedNames());
}

void
Daemon::Parts::UpdateSelf()
{
  const Instant now = mLoop->Now();
  const std::vector<Bucket> held = mLeases.Holder().HeldBuckets(now);
  MemberDescription& self = mMembership.Table().Self();
  self.mBuckets = MasksOf(held);
  self.mRevision = mConfiguration.Follower().RevisionInForce();
  self.mTicket = mOnce.Table().CurrentTicket(now).mIncarnation;
  mMetrics.Set(Gauge::BucketsHeld, held.size());
}

void
Daemon::Parts::WriteHeartbeatReply(Json::Value& aOutput)
{
  const ConfigurationFollower& follower = mConfiguration.Follower();
  aOutput["revision"] = Json::UInt64(follower.RevisionInForce().value());
  if (follower.Confirmed().has_value()) {
    const Duration age = mLoop->Now() - *follower.Confirmed();
    aOutput["confirmed_age_us"] =
      Json::UInt64(std::max<Duration::rep>(age.count(), 0));
  }
  if (mLeases.CurrentRoster().has_value()) {
    aOutput["roster"] = WriteRoster(*mLeases.CurrentRoster());
  }
}

void
Daemon::Parts::OnHeartbeatReply(const NodeName& aPeer,
                                const Json::Value& aReply,
                                Instant aAsked)
{
  if (!aReply["revision"].isUInt64()) {
    return;
  }
  std::optional<Instant> confirmed;
  if (aReply["confirmed_age_us"].isInt64()) {
    confirmed = aAsked - Duration(aReply["confirmed_age_us"].asInt64());
  }
  mConfiguration.OnPeerRevision(
    aPeer, Revision(aReply["revision"].asUInt64()), confirmed);
  const Result<Roster> roster = ReadRoster(aReply["roster"]);
  if (!IsError(roster)) {
    mLeases.OnPeerRoster(aPeer, ValueOf(roster));
  }
}

Result<std::unique_ptr<Daemon>>
Daemon::Create(const Settings& aSettings)
{
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (IsError(loop)) {
    return ErrorOf(loop);
  }
  const NodeIdentity self = NewLife(aSettings);
  Result<std::unique_ptr<PeerPort>> peers =
    PeerPort::Create(*ValueOf(loop), aSettings.PeerAddress(), self);
  if (IsError(peers)) {
    return ErrorOf(peers);
  }
  std::unique_ptr<Parts> parts =
    std::make_unique<Parts>(aSettings,
                            ReleaseValue(std::move(loop)),
                            ReleaseValue(std::move(peers)),
                            self);
  for (const Result<Success>& opened :
       { parts->OpenCallerPort(), parts->OpenOperatorPort() }) {
    if (IsError(opened)) {
      return ErrorOf(opened);
    }
  }
  return std::unique_ptr<Daemon>(new Daemon(std::move(parts)));
}

Daemon::Daemon(std::unique_ptr<Parts> aParts)
  : mParts(std::move(aParts))
{
}

Daemon::~Daemon() = default;

int
Daemon::Run()
{
  return mParts->Run();
}

} // namespace verbenachute
