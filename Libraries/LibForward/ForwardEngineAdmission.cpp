#include <LibForward/ForwardEngine.h>
#include <LibForward/RetryAfter.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <numeric>
#include <utility>

// Admission of callers' requests.

namespace verbenachute {

namespace {

// Time that the answer needs on its way back besides the network delay:
// parsing, waiting for the processor and writing.
constexpr Duration kAnswerReserve = milliseconds(5);
// Each priority level reserves 1/kPrioritySteps of the request limit for the
// more urgent levels.
constexpr std::size_t kPrioritySteps = 8;

} // namespace

Fingerprint
ForwardEngine::FingerprintOfRequest(const CallerRequest& aRequest)
{
  // Without the caller, answers to one would clear what another one sends.
  const std::string head = aRequest.mMethod + '\n' + aRequest.mHost + '\n' +
                           aRequest.mTarget + '\n' + aRequest.mTenant.value();
  return FingerprintOf(ServiceName(head), aRequest.mBody);
}

std::uint32_t
ForwardEngine::PriorityOf(const Request& aRequest)
{
  return aRequest.mRequest->mTenantPriority.value_or(
    aRequest.mRoute->mPriority);
}

ForwardActions
ForwardEngine::Submit(RequestNumber aNumber,
                      CallerRequestPointer aRequest,
                      Instant aNow)
{
  VERIFY(!mRequests.contains(aNumber));
  Request request;
  request.mRequest = std::move(aRequest);
  request.mPlan = mPlan;
  if (!mPlan) {
    AddAnswer(aNumber,
              RefusedOutcome{ RefusalReason::NoPlan, kRetryAfterNoPlan },
              request.mSummary);
    return TakeActions();
  }
  request.mSummary.mPlan = mPlan->Version();
  request.mRoute =
    mPlan->FindRoute(request.mRequest->mHost, request.mRequest->mTarget);
  if (request.mRoute == nullptr) {
    AddAnswer(aNumber, NoRouteOutcome(), request.mSummary);
    return TakeActions();
  }
  request.mShards = std::get_if<ShardSet>(&request.mRoute->mDestination);
  request.mSummary.mRoute = request.mRoute->mName;
  request.mSummary.mObjective = request.mRoute->mLatencyObjective;
  request.mMaximumAttempts = request.mRoute->mMaximumAttempts;
  request.mFingerprint = FingerprintOfRequest(*request.mRequest);
  request.mSummary.mFingerprint = request.mFingerprint;
  SetTimes(&request, aNow);
  MakeParts(&request, aNow);
  std::optional<RefusedOutcome> refusal = AdmissionRefusal(request, aNow);
  if (!refusal.has_value()) {
    refusal = CoverageRefusal(&request, aNow);
  }
  if (!refusal.has_value()) {
    refusal = LoadRefusal(request, aNow);
  }
  if (refusal.has_value()) {
    AddAnswer(aNumber, *refusal, request.mSummary);
    return TakeActions();
  }
  Request& accepted =
    mRequests.emplace(aNumber, std::move(request)).first->second;
  std::vector<std::size_t> parts(accepted.mParts.size());
  std::iota(parts.begin(), parts.end(), std::size_t{ 0 });
  StartParts(aNumber, &accepted, parts, aNow);
  Evaluate(aNumber, aNow);
  return TakeActions();
}

void
ForwardEngine::SetTimes(Request* aRequest, Instant aNow)
{
  const Route& route = *aRequest->mRoute;
  const CallerRequest& request = *aRequest->mRequest;
  RouteStatistics& statistics = StatisticsOf(route);
  Duration timeLimit = route.mDeadline;
  Duration spent = request.mConnectTime;
  if (request.mTimeLimit.has_value()) {
    statistics.ObserveTimeLimit(*request.mTimeLimit);
    timeLimit = std::min(timeLimit, *request.mTimeLimit);
    // The time that the caller has left already excludes the time for
    // connecting, so mConnectTime must not be counted again.
    spent = statistics.TimeSpentBefore(*request.mTimeLimit);
  }
  const Duration returnDelay = mSettings.mCallerOneWayDelay + kAnswerReserve;
  aRequest->mDeadline = request.mArrivalTime + timeLimit - returnDelay;
  const Duration timeToAnswer = route.mLatencyObjective - spent -
                                mSettings.mCallerOneWayDelay - returnDelay;
  aRequest->mObjectiveAt = request.mArrivalTime + timeToAnswer;
  aRequest->mPartialAnswerAt =
    std::min(aRequest->mDeadline,
             request.mArrivalTime + std::max(timeToAnswer, Duration(0)));
  if (mSettings.mPartialAnswers == PartialAnswers::WhenMissingShardsFailed) {
    aRequest->mPartialAnswerAt = aRequest->mDeadline;
  }
  if (mAnswerBy.has_value()) {
    aRequest->mEndsWithProcess = *mAnswerBy < aRequest->mDeadline;
    aRequest->mDeadline = std::min(aRequest->mDeadline, *mAnswerBy);
    aRequest->mPartialAnswerAt =
      std::min(aRequest->mPartialAnswerAt, aRequest->mDeadline);
  }
  const Duration connectionWait(static_cast<Duration::rep>(
    mSettings.mConnectionWaitShare *
    static_cast<double>(route.mLatencyObjective.count())));
  aRequest->mWaitUntil = std::min(
    aRequest->mDeadline, std::max(aNow, request.mArrivalTime + connectionWait));
  if (aRequest->mShards != nullptr) {
    // The other shards of a query are being asked meanwhile, so that the caller
    // could not start again elsewhere without repeating them.
    aRequest->mWaitUntil = std::max(
      aRequest->mWaitUntil, aRequest->mDeadline - statistics.TailLatency());
  }
}

void
ForwardEngine::MakeParts(Request* aRequest, Instant aNow)
{
  if (aRequest->mShards != nullptr) {
    for (const ServiceName& shard : aRequest->mShards->mShards) {
      Part& part = aRequest->mParts.emplace_back();
      part.mService = shard;
      part.mShardIndex = aRequest->mParts.size() - 1;
    }
  } else {
    const std::vector<WeightedService>& services =
      std::get<SingleDestination>(aRequest->mRoute->mDestination).mServices;
    const std::size_t next =
      StatisticsOf(*aRequest->mRoute).NextService(services);
    aRequest->mParts.emplace_back().mService = services.at(next).mService;
  }
  aRequest->mSummary.mParts = aRequest->mParts.size();
  for (const Part& part : aRequest->mParts) {
    StateOf(part.mService).mBudget->OnRequest(aNow);
  }
}

std::size_t
ForwardEngine::WaitingParts(const ServiceName& aService) const
{
  const auto state = mServices.find(aService);
  if (state == mServices.end()) {
    return 0;
  }
  // The queue keeps parts of requests that have ended until an attempt ends.
  const std::deque<std::pair<RequestNumber, std::size_t>>& waiting =
    state->second.mWaiting;
  return static_cast<std::size_t>(
    std::count_if(waiting.begin(), waiting.end(), [&](const auto& aEntry) {
      const auto request = mRequests.find(aEntry.first);
      return request != mRequests.end() &&
             request->second.mParts[aEntry.second].mState == PartState::Waiting;
    }));
}

std::optional<Instant>
ForwardEngine::ServiceableFrom(const ServiceName& aService,
                               const CallerId& aCaller,
                               const std::string& aRoute,
                               Instant aNow) const
{
  const std::vector<TargetRecord*>& targets = mTargets.Of(aService);
  const ServiceSettings* serviceSettings = mPlan->FindService(aService);
  // Counted only for targets with a rate limit.
  std::optional<double> ahead;
  std::optional<Instant> earliest;
  for (const TargetRecord* target : targets) {
    const std::size_t domain = target->DomainIndex();
    // While all its probes are under way, a request could only wait for them.
    const bool mayProbe =
      mDomains.IsProbeDue(domain, aNow) &&
      HasFreeConnection(*target, serviceSettings, target->IsSuspect(aNow));
    const bool unreachable = mDomains.IsUnreachable(domain, aNow) && !mayProbe;
    if (!MayServe(*target, aCaller, aRoute) || target->IsDown(aNow) ||
        unreachable) {
      continue;
    }
    const TargetRateShares shares =
      RateSharesOf(*target, serviceSettings, aNow);
    const bool isLimited =
      shares.mCold.has_value() || shares.mNamed.has_value();
    if (isLimited && !ahead.has_value()) {
      ahead = static_cast<double>(WaitingParts(aService)) /
              static_cast<double>(targets.size());
    }
    const GateDecision gate = target->Gate().Decide(
      shares, AttemptPurpose::First, ahead.value_or(0), aNow);
    const std::optional<Instant> from = gate.MaySend() ? aNow : gate.mEndsAt;
    if (from.has_value()) {
      earliest = std::min(earliest.value_or(*from), *from);
    }
  }
  return earliest;
}

std::optional<RefusedOutcome>
ForwardEngine::AdmissionRefusal(const Request& aRequest, Instant aNow)
{
  if (aRequest.mEndsWithProcess &&
      aRequest.mRoute->mRepeatPolicy == RepeatPolicy::AtMostOnce) {
    return RefusedOutcome{ RefusalReason::Leaving, Duration(0) };
  }
  if (!HasTimeLeft(aRequest, aNow)) {
    return RefusedOutcome{ RefusalReason::TooLate, Duration(0) };
  }
  if (mPoison.IsPoisonous(aRequest.mFingerprint, aNow)) {
    return RefusedOutcome{ RefusalReason::Poisonous, kRetryAfterPoison };
  }
  // Less urgent requests have a lower limit, so that more urgent ones are still
  // admitted.
  const std::size_t limit =
    mSettings.mMaximumRunning -
    mSettings.mMaximumRunning / kPrioritySteps *
      std::min<std::size_t>(PriorityOf(aRequest), kPrioritySteps / 2);
  if (mRequests.size() >= limit) {
    return RefusedOutcome{ RefusalReason::Overloaded, kRetryAfterOverload };
  }
  return std::nullopt;
}

std::optional<RefusedOutcome>
ForwardEngine::CoverageRefusal(Request* aRequest, Instant aNow) const
{
  const Instant limit = HoldLimit(*aRequest, aNow);
  std::size_t serviceable = 0;
  std::vector<Instant> times;
  for (const Part& part : aRequest->mParts) {
    const std::optional<Instant> from =
      ServiceableFrom(part.mService,
                      aRequest->mRequest->mCaller,
                      aRequest->mRoute->mName,
                      aNow);
    if (from.has_value()) {
      times.push_back(*from);
    }
    if (from.has_value() && (*from <= aNow || *from < limit)) {
      ++serviceable;
    } else {
      aRequest->mSummary.AddMissing(part.mService);
    }
  }
  const std::size_t minimum =
    aRequest->mShards != nullptr ? aRequest->mShards->MinimumShards() : 1;
  if (serviceable >= minimum) {
    aRequest->mSummary.mMissingServices.clear();
    return std::nullopt;
  }
  if (times.size() < minimum) {
    return RefusedOutcome{ RefusalReason::NoTarget, kRetryAfterNoTarget };
  }
  const auto enough = times.begin() + static_cast<std::ptrdiff_t>(minimum) - 1;
  std::nth_element(times.begin(), enough, times.end());
  return RefusedOutcome{ RefusalReason::TargetsHeld,
                         std::max(*enough - aNow, kRetryAfterOverload) };
}

} // namespace verbenachute
