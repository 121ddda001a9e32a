#include <LibForward/ForwardEngine.h>
#include <LibForward/RetryAfter.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// How requests of callers begin.

namespace verbenachute {

namespace {

// Part of the remaining time that the answer needs on its way back besides
// the network: parsing, queueing for the processor and writing.
constexpr Duration kAnswerReserve = milliseconds(5);
// Each step of priority leaves one of these parts of the room to those above.
constexpr std::size_t kRoomSteps = 8;

} // namespace

Fingerprint
ForwardEngine::FingerprintOfRequest(const CallerRequest& aRequest)
{
  return FingerprintOf(ServiceName(aRequest.mMethod),
                       aRequest.mTarget + '\n' + aRequest.mBody);
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
    AnswerAtOnce(aNumber,
                 RefusedOutcome{ RefusalReason::NoPlan, kRetryAfterNoPlan },
                 request.mSummary);
    return TakeActions();
  }
  request.mSummary.mPlan = mPlan->Version();
  request.mRoute =
    mPlan->FindRoute(request.mRequest->mHost, request.mRequest->mTarget);
  if (request.mRoute == nullptr) {
    AnswerAtOnce(aNumber, NoRouteOutcome(), request.mSummary);
    return TakeActions();
  }
  request.mShards = std::get_if<ShardSet>(&request.mRoute->mDestination);
  request.mSummary.mRoute = request.mRoute->mName;
  request.mSummary.mObjective = request.mRoute->mLatencyObjective;
  request.mMaximumAttempts = request.mRoute->mMaximumAttempts;
  request.mFingerprint = FingerprintOfRequest(*request.mRequest);
  SetTimes(&request, aNow);
  MakeParts(&request, aNow);
  std::optional<RefusedOutcome> problem = AdmissionProblem(request, aNow);
  if (!problem.has_value()) {
    problem = CoverageProblem(&request, aNow);
  }
  if (problem.has_value()) {
    AnswerAtOnce(aNumber, *problem, request.mSummary);
    return TakeActions();
  }
  Request& placed =
    mRequests.emplace(aNumber, std::move(request)).first->second;
  DelegateParts(aNumber, &placed, aNow);
  for (std::size_t i = 0; i < placed.mParts.size(); ++i) {
    if (!placed.mParts[i].mDelegation.has_value()) {
      StartPart(aNumber, &placed, i, aNow);
    }
  }
  Evaluate(aNumber, aNow);
  return TakeActions();
}

void
ForwardEngine::SetTimes(Request* aRequest, Instant aNow)
{
  const Route& route = *aRequest->mRoute;
  const CallerRequest& request = *aRequest->mRequest;
  RouteStatistics& statistics = StatisticsOf(route);
  Duration patience = route.mDeadline;
  Duration spent = request.mConnecting;
  if (request.mPatience.has_value()) {
    statistics.ObservePatience(*request.mPatience);
    patience = std::min(patience, *request.mPatience);
    // What the caller has left tells the time for connecting, too.
    spent = statistics.SpentBefore(*request.mPatience);
  }
  const Duration back = mSettings.mCallerDelay + kAnswerReserve;
  aRequest->mDeadline = request.mArrived + patience - back;
  const Duration inTime =
    route.mLatencyObjective - spent - mSettings.mCallerDelay - back;
  aRequest->mCut = std::min(aRequest->mDeadline,
                            request.mArrived + std::max(inTime, Duration(0)));
  if (mSettings.mPartial == PartialAnswers::WhenNothingIsLeft) {
    aRequest->mCut = aRequest->mDeadline;
  }
  const Duration wait(static_cast<Duration::rep>(
    mSettings.mWaitShare *
    static_cast<double>(route.mLatencyObjective.count())));
  aRequest->mWaitUntil =
    std::min(aRequest->mDeadline, std::max(aNow, request.mArrived + wait));
}

void
ForwardEngine::MakeParts(Request* aRequest, Instant aNow)
{
  if (aRequest->mShards != nullptr) {
    for (const ServiceName& shard : aRequest->mShards->mShards) {
      Part& part = aRequest->mParts.emplace_back();
      part.mService = shard;
      part.mPlace = aRequest->mParts.size() - 1;
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

bool
ForwardEngine::IsServiceable(const ServiceName& aService,
                             const CallerId& aCaller,
                             Instant aNow) const
{
  const std::vector<TargetRecord*>& targets = mTargets.Of(aService);
  return std::any_of(
    targets.begin(), targets.end(), [&](const TargetRecord* aTarget) {
      const std::size_t domain = aTarget->DomainPlace();
      const bool gone =
        mDomains.IsGone(domain, aNow) && !mDomains.IsTrialDue(domain, aNow);
      return IsOpen(*aTarget, aCaller) && !aTarget->IsDown(aNow) && !gone;
    });
}

std::optional<RefusedOutcome>
ForwardEngine::AdmissionProblem(const Request& aRequest, Instant aNow)
{
  if (!LeavesTime(aRequest, aNow)) {
    return RefusedOutcome{ RefusalReason::TooLate, Duration(0) };
  }
  if (mPoison.IsPoisonous(aRequest.mFingerprint, aNow)) {
    return RefusedOutcome{ RefusalReason::Poisonous, kRetryAfterPoison };
  }
  // Less urgent requests leave room for the more urgent ones.
  const std::size_t room =
    mSettings.mMaximumRunning -
    mSettings.mMaximumRunning / kRoomSteps *
      std::min<std::size_t>(aRequest.mRoute->mPriority, kRoomSteps / 2);
  if (mRequests.size() >= room) {
    return RefusedOutcome{ RefusalReason::Overloaded, kRetryAfterOverload };
  }
  return std::nullopt;
}

std::optional<RefusedOutcome>
ForwardEngine::CoverageProblem(Request* aRequest, Instant aNow) const
{
  std::size_t serviceable = 0;
  for (const Part& part : aRequest->mParts) {
    if (IsServiceable(part.mService, aRequest->mRequest->mCaller, aNow)) {
      ++serviceable;
    } else {
      aRequest->mSummary.AddMissing(part.mService);
    }
  }
  const std::size_t least =
    aRequest->mShards != nullptr ? aRequest->mShards->LeastParts() : 1;
  if (serviceable < least) {
    return RefusedOutcome{ RefusalReason::NoTarget, kRetryAfterNoTarget };
  }
  aRequest->mSummary.mMissing.clear();
  return std::nullopt;
}

} // namespace verbenachute
