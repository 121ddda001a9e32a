#include "StoreLink.h"

#include <LibCore/Overloaded.h>
#include <LibCore/SocketAddressText.h>
#include <LibHttp/HttpText.h>
#include <LibStore/StoreNewsCodec.h>

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

namespace {

constexpr int kOk = 200;
constexpr Duration kCallTimeout = milliseconds(1500);
// A watch that is answered late is broken off after its own wait and this.
constexpr Duration kWatchSlack = milliseconds(1500);
constexpr Duration kPeerTimeout = milliseconds(700);
// The longest life that the store gives a lease; keys of nodes that are gone
// disappear after it.
constexpr Duration kLeaseLife = seconds(600);
constexpr Duration kRenewal = seconds(200);
constexpr Duration kFirstRegistrationRetry = milliseconds(1000);
constexpr Duration kLongestRegistrationRetry = seconds(20);
// A waiting watch whose connection has fallen silent is noticed by probes.
constexpr SilenceLimits kStoreSilence{ milliseconds(2000), seconds(1) };

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
                         kFirstRegistrationRetry,
                         kLongestRegistrationRetry)
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
StoreLink::SetSource(FollowSource aSource, Duration aWatchWait)
{
  mFollower.SetSource(aSource, mDependencies.mLoop.Now());
  mFollower.SetWatchWait(aWatchWait);
  Advance();
}

void
StoreLink::OnPeerRevision(StoreRevision aRevision)
{
  if (aRevision > mFollower.Mirror().At()) {
    mFollower.OnPeerRevision(aRevision);
    Advance();
  }
}

void
StoreLink::Advance()
{
  const Instant now = mDependencies.mLoop.Now();
  for (const FollowerCall& call : mFollower.Due(now)) {
    std::visit([this](const auto& aAction) { Execute(aAction); }, call);
  }
  const std::optional<Instant> next = mFollower.NextDue(now);
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
                Done aDone)
{
  if (*aStream == nullptr || !(*aStream)->IsReady()) {
    *aStream = std::make_unique<HttpClientStream>(
      mDependencies.mLoop, aAddress, kStoreSilence);
  }
  if (aAddress == mStore) {
    mDependencies.mMetrics.Add(Counter::StoreCalls);
  }
  HttpClientStream::Exchange exchange;
  exchange.mRequest = std::move(aRequest);
  exchange.mTimeout = aTimeout;
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
StoreLink::Failed(StoreFailure aFailure, const char* aCall)
{
  const Instant now = mDependencies.mLoop.Now();
  mDependencies.mMetrics.Add(Counter::StoreFailures);
  if (!mFollower.FailingSince().has_value()) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::StoreUnavailable)
        .At(Step::Store)
        .With("call", aCall)
        .With("cause",
              aFailure == StoreFailure::Refused       ? "refused"
              : aFailure == StoreFailure::HistoryGone ? "history gone"
                                                      : "unreachable"));
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
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const platform::StoreResult<StorePage> result =
           platform::ReadPageResult(aOutcome);
         if (const StoreFailure* failure = std::get_if<StoreFailure>(&result)) {
           Failed(*failure, "read");
           return;
         }
         if (mFollower.FailingSince().has_value()) {
           mDependencies.mLogger.Log(LogEvent(EventNumber::StoreRestored));
         }
         const StoreMirror::Changes changes = mFollower.OnPage(
           std::get<StorePage>(result), mDependencies.mLoop.Now());
         mDependencies.mChanged(changes);
         Advance();
       });
}

void
StoreLink::Execute(const WatchAction& aAction)
{
  Call(&mReadStream,
       mStore,
       platform::WatchCall(mHost, aAction),
       aAction.mWait + kWatchSlack,
       [this](const StreamOutcome& aOutcome) {
         const platform::StoreResult<StoreChanges> result =
           platform::WatchResult(aOutcome);
         if (const StoreFailure* failure = std::get_if<StoreFailure>(&result)) {
           Failed(*failure, "watch");
           return;
         }
         if (mFollower.FailingSince().has_value()) {
           mDependencies.mLogger.Log(LogEvent(EventNumber::StoreRestored));
         }
         const StoreMirror::Changes changes = mFollower.OnChanges(
           std::get<StoreChanges>(result), mDependencies.mLoop.Now());
         const bool lost = std::any_of(
           changes.begin(), changes.end(), [&](const StoreChange& aChange) {
             return aChange.mKey == mOwnKey && !aChange.mValue.has_value();
           });
         if (lost && mStep == RegistrationStep::Registered) {
           RegisterLater();
         }
         mDependencies.mChanged(changes);
         Advance();
       });
}

void
StoreLink::Execute(const ProbeAction&)
{
  Call(&mProbeStream,
       mStore,
       platform::ProbeCall(mHost, mOwnKey),
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const Instant now = mDependencies.mLoop.Now();
         const platform::StoreResult<StoreRevision> result =
           platform::ProbeResult(aOutcome);
         if (const StoreRevision* at = std::get_if<StoreRevision>(&result)) {
           mFollower.OnProbe(*at, now);
         } else {
           mFollower.OnProbeFailure(now);
         }
         Advance();
       });
}

void
StoreLink::Execute(const AskPeerAction& aAction)
{
  const std::optional<SocketAddress> peer =
    mDependencies.mPeer(aAction.mNewerThan);
  if (!peer.has_value()) {
    mFollower.OnPeerFailure(mDependencies.mLoop.Now());
    return;
  }
  mPeerStream.reset();
  HttpFields fields;
  fields.Add("Host", SocketAddressText(*peer));
  const std::string target =
    mFollower.HasCopy()
      ? "/changes?after=" + std::to_string(aAction.mNewerThan.value())
      : "/copy";
  Call(&mPeerStream,
       *peer,
       RequestText("GET", target, fields, ""),
       kPeerTimeout,
       [this](const StreamOutcome& aOutcome) { OnPeerAnswer(aOutcome); });
}

void
StoreLink::OnPeerAnswer(const StreamOutcome& aOutcome)
{
  const Instant now = mDependencies.mLoop.Now();
  const HttpResponse* response = std::get_if<HttpResponse>(&aOutcome);
  const Result<StoreNews> news =
    response != nullptr && response->mStatus == kOk
      ? DecodeStoreNews(response->mBody)
      : Error{ Step::Store, ErrorCode::Unreachable, "", "no answer" };
  if (IsError(news)) {
    mFollower.OnPeerFailure(now);
  } else if (const StorePage* page = std::get_if<StorePage>(&ValueOf(news))) {
    mDependencies.mChanged(mFollower.OnPeerCopy(page->mItems, page->mAt, now));
  } else {
    mDependencies.mChanged(
      mFollower.OnPeerChanges(std::get<StoreChanges>(ValueOf(news)), now));
  }
  Advance();
}

void
StoreLink::RegisterLater()
{
  mStep = RegistrationStep::Lease;
  mRegistrationTimer.Start(mRegistrationBackoff.OnFailure());
}

void
StoreLink::Register()
{
  if (mStep == RegistrationStep::Lease) {
    Call(&mWriteStream,
         mStore,
         platform::GrantLeaseCall(mHost, kLeaseLife),
         kCallTimeout,
         [this](const StreamOutcome& aOutcome) {
           const platform::StoreResult<platform::LeaseId> lease =
             platform::GrantLeaseResult(aOutcome);
           if (std::holds_alternative<StoreFailure>(lease)) {
             RegisterLater();
             return;
           }
           mLease = std::get<platform::LeaseId>(lease);
           mStep = RegistrationStep::Key;
           Register();
         });
    return;
  }
  if (mStep == RegistrationStep::Registered) {
    Renew();
    return;
  }
  Call(&mWriteStream,
       mStore,
       platform::WriteKeyCall(mHost, mOwnKey, mOwnValue, std::nullopt, mLease),
       kCallTimeout,
       [this](const StreamOutcome& aOutcome) {
         const platform::StoreResult<StoreRevision> written =
           platform::WriteKeyResult(aOutcome);
         if (std::holds_alternative<StoreFailure>(written)) {
           RegisterLater();
           return;
         }
         mStep = RegistrationStep::Registered;
         mRegistrationBackoff.OnSuccess();
         mRegistrationTimer.Start(kRenewal);
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
           RegisterLater();
           return;
         }
         mRegistrationTimer.Start(kRenewal);
       });
}

} // namespace verbenachute
