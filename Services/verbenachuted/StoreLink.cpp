#include "StoreLink.h"

#include <LibCore/Overloaded.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibHttp/HttpText.h>
#include <LibStore/StoreUpdateCodec.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

namespace {

constexpr int kOk = 200;
constexpr Duration kCallTimeout = milliseconds(1500);
// Time beyond its own wait after which a watch without a response is aborted.
constexpr Duration kWatchGrace = milliseconds(1500);
constexpr Duration kPeerTimeout = milliseconds(700);
// The maximum lease duration of the store. The key of a stopped node is removed
// after it.
constexpr Duration kLeaseDuration = seconds(600);
constexpr Duration kRenewalInterval = seconds(200);
constexpr Duration kInitialRegistrationRetry = milliseconds(1000);
constexpr Duration kMaximumRegistrationRetry = seconds(20);
// Keep-alive probes detect the loss of a connection on which a watch is
// pending.
constexpr PeerTimeouts kStoreTimeouts{ milliseconds(2000), seconds(1) };

// A response to a watch that is larger costs more than a read of all keys, in
// which each has only its latest value.
constexpr std::size_t kMaximumWatchBytes = 4UL * 1024 * 1024;

const char*
CauseName(StoreFailure aFailure)
{
  switch (aFailure) {
    case StoreFailure::Unreachable:
      return "unreachable";
    case StoreFailure::ResponseTooLarge:
      return "response too large";
    case StoreFailure::ResponseInvalid:
      return "response invalid";
    case StoreFailure::Refused:
      return "refused";
    case StoreFailure::HistoryCompacted:
      return "history gone";
  }
  VERIFY(!"unknown failure");
}

StoreFollower::Settings
FollowerSettings(const NodeName& aSelf)
{
  StoreFollower::Settings settings;
  settings.mSelf = aSelf;
  return settings;
}

} // namespace

StoreLink::StoreLink(const NodeName& aSelf,
                     const SocketAddress& aStore,
                     Dependencies aDependencies)
  : mSelf(aSelf)
  , mStore(aStore)
  , mHost(SocketAddressText(aStore))
  , mDependencies(std::move(aDependencies))
  , mFollower(FollowerSettings(aSelf))
  , mTimer(mDependencies.mLoop, [this]() { Advance(); })
  , mRegistrationTimer(mDependencies.mLoop, [this]() { Register(); })
  , mRegistrationBackoff(aSelf,
                         kInitialRegistrationRetry,
                         kMaximumRegistrationRetry)
{
}

void
StoreLink::Start(const std::string& aOwnKey, const std::string& aOwnValue)
{
  mOwnKey = aOwnKey;
  mOwnValue = aOwnValue;
  Advance();
  Register();
}

void
StoreLink::SetSource(UpdateSource aSource, Duration aWatchTimeout)
{
  mFollower.SetSource(aSource, mDependencies.mLoop.Now());
  mFollower.SetWatchTimeout(aWatchTimeout);
  Advance();
}

void
StoreLink::OnPeerRevision(StoreRevision aRevision)
{
  if (aRevision > mFollower.Mirror().CurrentRevision()) {
    mFollower.OnPeerRevision(aRevision);
    Advance();
  }
}

void
StoreLink::RequestKnownAsOf(std::optional<Instant> aTime)
{
  if (aTime == mRequestedAsOf) {
    return;
  }
  mRequestedAsOf = aTime;
  mFollower.RequestKnownAsOf(aTime);
  Advance();
}

void
StoreLink::Advance()
{
  const Instant now = mDependencies.mLoop.Now();
  if (mFollower.KnownAsOf() > mReportedAsOf) {
    mReportedAsOf = mFollower.KnownAsOf();
    mDependencies.mOnKnownAsOf(mReportedAsOf);
  }
  for (const FollowerCall& call : mFollower.TakeDueCalls(now)) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, call);
  }
  const std::optional<Instant> next = mFollower.NextDueTime(now);
  if (next.has_value()) {
    mTimer.Start(*next - now);
  } else {
    mTimer.Stop();
  }
}

void
StoreLink::Call(std::unique_ptr<HttpClientStream>* aStream,
                const SocketAddress& aAddress,
                std::string aRequest,
                Duration aTimeout,
                Done aDone,
                const MessageLimits& aLimits)
{
  if (*aStream == nullptr || !(*aStream)->IsReady()) {
    *aStream = std::make_unique<HttpClientStream>(
      mDependencies.mLoop, aAddress, kStoreTimeouts);
  }
  if (aAddress == mStore) {
    mDependencies.mMetrics.Add(Counter::StoreCalls);
  }
  HttpClientStream::Exchange exchange;
  exchange.mRequest = std::move(aRequest);
  exchange.mTimeout = aTimeout;
  exchange.mLimits = aLimits;
  (*aStream)->Send(
    std::move(exchange),
    [this, done = std::move(aDone)](StreamOutcome aOutcome) {
      // From the loop, since the next call may replace the
      // stream that calls this.
      mDependencies.mLoop.Defer(
        [done, outcome = std::move(aOutcome)]() { done(outcome); });
    });
}

void
StoreLink::OnCallFailure(StoreFailure aFailure, const char* aCall)
{
  const Instant now = mDependencies.mLoop.Now();
  mDependencies.mMetrics.Add(Counter::StoreFailures);
  if (!mFollower.FailingSince().has_value()) {
    mDependencies.mLogger.Log(LogEvent(EventNumber::StoreUnavailable)
                                .At(Step::Store)
                                .With("call", aCall)
                                .With("cause", CauseName(aFailure)));
  }
  mFollower.OnFailure(aFailure, now);
  Advance();
}

void
StoreLink::Execute(const ReadPageAction& aAction)
{
  Call(&mReadStream,
       mStore,
       platform::ReadPageCall(mHost, aAction),
       aAction.mTimeout,
       [this](const StreamOutcome& aOutcome) {
         const platform::StoreResult<StorePage> result =
           platform::ReadPageResult(aOutcome);
         if (const StoreFailure* failure = std::get_if<StoreFailure>(&result)) {
           OnCallFailure(*failure, "read");
           return;
         }
         if (mFollower.FailingSince().has_value()) {
           mDependencies.mLogger.Log(LogEvent(EventNumber::StoreRestored));
         }
         const StoreMirror::Changes changes = mFollower.OnPage(
           std::get<StorePage>(result), mDependencies.mLoop.Now());
         mDependencies.mOnChanged(changes);
         Advance();
       });
}

void
StoreLink::Execute(const WatchAction& aAction)
{
  MessageLimits limits;
  limits.mBodyBytes = kMaximumWatchBytes;
  Call(
    &mReadStream,
    mStore,
    platform::WatchCall(mHost, aAction),
    aAction.mWait + kWatchGrace,
    [this](const StreamOutcome& aOutcome) {
      const platform::StoreResult<StoreChanges> result =
        platform::WatchResult(aOutcome);
      if (const StoreFailure* failure = std::get_if<StoreFailure>(&result)) {
        OnCallFailure(*failure, "watch");
        return;
      }
      if (mFollower.FailingSince().has_value()) {
        mDependencies.mLogger.Log(LogEvent(EventNumber::StoreRestored));
      }
      const StoreMirror::Changes changes = mFollower.OnChanges(
        std::get<StoreChanges>(result), mDependencies.mLoop.Now());
      const bool ownKeyRemoved = std::any_of(
        changes.begin(), changes.end(), [&](const StoreChange& aChange) {
          return aChange.mKey == mOwnKey && !aChange.mValue.has_value();
        });
      if (ownKeyRemoved && mRegistrationStep == RegistrationStep::Registered) {
        ScheduleRegistration();
      }
      mDependencies.mOnChanged(changes);
      Advance();
    },
    limits);
}

void
StoreLink::Execute(const ProbeAction& aAction)
{
  Call(&mProbeStream,
       mStore,
       platform::ProbeCall(mHost, mOwnKey, aAction),
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const Instant now = mDependencies.mLoop.Now();
         const platform::StoreResult<StoreRevision> result =
           platform::ProbeResult(aOutcome);
         if (const StoreRevision* revision =
               std::get_if<StoreRevision>(&result)) {
           mFollower.OnProbe(*revision, now);
         } else {
           mFollower.OnProbeFailure(now);
         }
         Advance();
       });
}

void
StoreLink::Execute(const FetchFromPeerAction& aAction)
{
  const NodeStatus* peer = mDependencies.mFindPeer(aAction.mNewerThan);
  if (peer == nullptr) {
    mFollower.OnPeerFailure(mDependencies.mLoop.Now());
    return;
  }
  mPeerStream.reset();
  HttpFields fields;
  fields.Add("Host", SocketAddressText(peer->mPeerAddress));
  const std::string target =
    mFollower.HasCopy()
      ? "/changes?after=" + std::to_string(aAction.mNewerThan.value())
      : "/copy";
  const bool crossesDomains = peer->mDomain != mDependencies.mDomain;
  Call(&mPeerStream,
       peer->mPeerAddress,
       SerializeRequest("GET", target, fields, ""),
       kPeerTimeout,
       [this, crossesDomains](const StreamOutcome& aOutcome) {
         const std::size_t bytes = mPeerStream->TakeTransferredBytes();
         if (crossesDomains) {
           mDependencies.mMetrics.AddTraffic(TrafficCause::StoreUpdate, bytes);
         }
         OnPeerResponse(aOutcome);
       });
}

void
StoreLink::OnPeerResponse(const StreamOutcome& aOutcome)
{
  const Instant now = mDependencies.mLoop.Now();
  const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
  const Result<StoreUpdate> update =
    response != nullptr && response->mStatus == kOk
      ? DecodeStoreUpdate(response->mBody)
      : Error{
          Step::Store, ErrorCode::Unreachable, "", "the peer did not respond"
        };
  if (IsError(update)) {
    mFollower.OnPeerFailure(now);
  } else if (const StorePage* page = std::get_if<StorePage>(&ValueOf(update))) {
    mDependencies.mOnChanged(
      mFollower.OnPeerCopy(page->mItems, page->mStoreRevision, now));
  } else {
    mDependencies.mOnChanged(
      mFollower.OnPeerChanges(std::get<StoreChanges>(ValueOf(update)), now));
  }
  Advance();
}

void
StoreLink::ScheduleRegistration()
{
  mRegistrationStep = RegistrationStep::Lease;
  mRegistrationTimer.Start(mRegistrationBackoff.OnFailure());
}

void
StoreLink::Register()
{
  if (mRegistrationStep == RegistrationStep::Lease) {
    Call(&mWriteStream,
         mStore,
         platform::GrantLeaseCall(mHost, kLeaseDuration),
         kCallTimeout,
         [this](const StreamOutcome& aOutcome) {
           const platform::StoreResult<platform::LeaseId> lease =
             platform::GrantLeaseResult(aOutcome);
           if (std::holds_alternative<StoreFailure>(lease)) {
             ScheduleRegistration();
             return;
           }
           mLease = std::get<platform::LeaseId>(lease);
           mRegistrationStep = RegistrationStep::Key;
           Register();
         });
    return;
  }
  if (mRegistrationStep == RegistrationStep::Registered) {
    Renew();
    return;
  }
  Call(&mWriteStream,
       mStore,
       platform::WriteKeyCall(mHost, mOwnKey, mOwnValue, std::nullopt, mLease),
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const platform::StoreResult<StoreRevision> writtenRevision =
           platform::WriteKeyResult(aOutcome);
         if (std::holds_alternative<StoreFailure>(writtenRevision)) {
           ScheduleRegistration();
           return;
         }
         mRegistrationStep = RegistrationStep::Registered;
         mRegistrationBackoff.OnSuccess();
         mRegistrationTimer.Start(kRenewalInterval);
       });
}

void
StoreLink::Renew()
{
  Call(&mWriteStream,
       mStore,
       platform::RenewLeaseCall(mHost, mLease),
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
         if (response == nullptr || response->mStatus != kOk) {
           ScheduleRegistration();
           return;
         }
         mRegistrationTimer.Start(kRenewalInterval);
       });
}

} // namespace verbenachute
