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
// The first probe that is answered after an outage ends it.
constexpr Duration kProbeTimeout = milliseconds(1200);
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
    case StoreFailure::ConnectionClosed:
      return "connection closed";
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

/// Era 0 is left out, as in the requests of earlier releases.
std::string
ChangesTarget(StorePosition aAfter)
{
  const std::string target =
    "/changes?after=" + std::to_string(aAfter.mRevision.value());
  return aAfter.mEra == StoreEra()
           ? target
           : target + "&era=" + std::to_string(aAfter.mEra.value());
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
StoreLink::OnPeerPosition(StorePosition aPosition)
{
  if (aPosition > mFollower.Mirror().Position()) {
    mFollower.OnPeerPosition(aPosition);
    Advance();
  }
}

void
StoreLink::OnEra(StoreEra aEra)
{
  if (aEra > mFollower.Era()) {
    mFollower.OnEra(aEra, mDependencies.mLoop.Now());
    Advance();
  }
}

void
StoreLink::NoticeEra()
{
  const StoreEra era = mFollower.Era();
  if (era > mReportedEra) {
    mDependencies.mLogger.Log(LogEvent(EventNumber::StoreEraRaised)
                                .At(Step::Store)
                                .With("before", mReportedEra.value())
                                .With("era", era.value()));
    mReportedEra = era;
  }
  if (mRegistrationStep != RegistrationStep::Lease && era > mLeaseEra) {
    ScheduleRegistration();
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
  NoticeEra();
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

StoreEra
StoreLink::EraOrKnown(const StreamOutcome& aOutcome)
{
  const Result<std::optional<StoreEra>> era = platform::EraOf(aOutcome);
  if (IsError(era)) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::StoreEraUnreadable).WithError(ErrorOf(era)));
    return mFollower.Era();
  }
  return ValueOf(era).value_or(mFollower.Era());
}

void
StoreLink::CallStore(std::unique_ptr<HttpClientStream>* aStream,
                     std::string aRequest,
                     Duration aTimeout,
                     StoreDone aDone,
                     const MessageLimits& aLimits)
{
  Call(
    aStream,
    mStore,
    std::move(aRequest),
    aTimeout,
    [this, done = std::move(aDone)](const StreamOutcome& aOutcome) {
      done(aOutcome, EraOrKnown(aOutcome));
    },
    aLimits);
}

void
StoreLink::OnCallFailure(StoreFailure aFailure,
                         const char* aCall,
                         StoreEra aEra)
{
  const Instant now = mDependencies.mLoop.Now();
  mFollower.OnEra(aEra, now);
  mDependencies.mMetrics.Add(Counter::StoreFailures);
  const bool wasFailing = mFollower.FailingSince().has_value();
  mFollower.OnFailure(aFailure, now);
  if (!wasFailing) {
    LogFailure(aFailure, aCall);
  }
  Advance();
}

void
StoreLink::LogFailure(StoreFailure aFailure, const char* aCall)
{
  const EventNumber event = mFollower.FailingSince().has_value()
                              ? EventNumber::StoreUnavailable
                              : EventNumber::StoreCallRepeated;
  mDependencies.mLogger.Log(LogEvent(event)
                              .At(Step::Store)
                              .With("call", aCall)
                              .With("cause", CauseName(aFailure)));
}

void
StoreLink::LogResponse(const char* aCall)
{
  if (mFollower.FailingSince().has_value()) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::StoreRestored).With("call", aCall));
  }
}

void
StoreLink::Execute(const ReadPageAction& aAction)
{
  CallStore(&mReadStream,
            platform::ReadPageCall(mHost, aAction),
            aAction.mTimeout,
            [this](const StreamOutcome& aOutcome, StoreEra aEra) {
              platform::StoreResult<StorePage> result =
                platform::ReadPageResult(aOutcome);
              if (const StoreFailure* failure =
                    std::get_if<StoreFailure>(&result)) {
                OnCallFailure(*failure, "read", aEra);
                return;
              }
              LogResponse("read");
              StorePage& page = std::get<StorePage>(result);
              page.mEra = aEra;
              const StoreMirror::Changes changes =
                mFollower.OnPage(page, mDependencies.mLoop.Now());
              mDependencies.mOnChanged(changes);
              Advance();
            });
}

void
StoreLink::Execute(const WatchAction& aAction)
{
  MessageLimits limits;
  limits.mBodyBytes = kMaximumWatchBytes;
  CallStore(
    &mReadStream,
    platform::WatchCall(mHost, aAction),
    aAction.mTimeout,
    [this](const StreamOutcome& aOutcome, StoreEra aEra) {
      platform::StoreResult<StoreChanges> result =
        platform::WatchResult(aOutcome);
      if (const StoreFailure* failure = std::get_if<StoreFailure>(&result)) {
        OnCallFailure(*failure, "watch", aEra);
        return;
      }
      LogResponse("watch");
      StoreChanges& reported = std::get<StoreChanges>(result);
      reported.mEra = aEra;
      const StoreMirror::Changes changes =
        mFollower.OnChanges(reported, mDependencies.mLoop.Now());
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
  CallStore(&mProbeStream,
            platform::ProbeCall(mHost, mOwnKey, aAction),
            kProbeTimeout,
            [this](const StreamOutcome& aOutcome, StoreEra aEra) {
              const Instant now = mDependencies.mLoop.Now();
              const platform::StoreResult<StoreRevision> result =
                platform::ProbeResult(aOutcome);
              if (const StoreRevision* revision =
                    std::get_if<StoreRevision>(&result)) {
                LogResponse("probe");
                mFollower.OnProbe({ aEra, *revision }, now);
              } else {
                const bool wasFailing = mFollower.FailingSince().has_value();
                mFollower.OnEra(aEra, now);
                mFollower.OnProbeFailure(now);
                if (!wasFailing) {
                  LogFailure(std::get<StoreFailure>(result), "probe");
                }
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
    mFollower.HasCopy() ? ChangesTarget(aAction.mNewerThan) : "/copy";
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
      mFollower.OnPeerCopy(page->mItems, page->Position(), now));
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
    CallStore(&mWriteStream,
              platform::GrantLeaseCall(mHost, kLeaseDuration),
              kCallTimeout,
              [this](const StreamOutcome& aOutcome, StoreEra aEra) {
                const platform::StoreResult<platform::LeaseId> lease =
                  platform::GrantLeaseResult(aOutcome);
                if (std::holds_alternative<StoreFailure>(lease)) {
                  ScheduleRegistration();
                  OnEra(aEra);
                  return;
                }
                mLeaseEra = aEra;
                mLease = std::get<platform::LeaseId>(lease);
                mRegistrationStep = RegistrationStep::Key;
                Register();
                OnEra(aEra);
              });
    return;
  }
  if (mRegistrationStep == RegistrationStep::Registered) {
    Renew();
    return;
  }
  CallStore(
    &mWriteStream,
    platform::WriteKeyCall(mHost, mOwnKey, mOwnValue, std::nullopt, mLease),
    kCallTimeout,
    [this](const StreamOutcome& aOutcome, StoreEra aEra) {
      const platform::StoreResult<StoreRevision> writtenRevision =
        platform::WriteKeyResult(aOutcome);
      if (mRegistrationStep != RegistrationStep::Key) {
        // The era has risen since, so the lease is void.
        return;
      }
      if (std::holds_alternative<StoreFailure>(writtenRevision) ||
          aEra != mLeaseEra) {
        ScheduleRegistration();
        OnEra(aEra);
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
  CallStore(&mWriteStream,
            platform::RenewLeaseCall(mHost, mLease),
            kCallTimeout,
            [this](const StreamOutcome& aOutcome, StoreEra aEra) {
              if (mRegistrationStep != RegistrationStep::Registered) {
                return;
              }
              const HttpResponse* response =
                std::get_if<HttpResponse>(&aOutcome);
              if (response == nullptr || response->mStatus != kOk ||
                  aEra != mLeaseEra) {
                ScheduleRegistration();
                OnEra(aEra);
                return;
              }
              mRegistrationTimer.Start(kRenewalInterval);
            });
}

} // namespace verbenachute
