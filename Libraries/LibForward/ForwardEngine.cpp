#include <LibForward/ForwardEngine.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Part of the remaining time that the answer needs on its way back besides
// the network: parsing, queueing for the processor and writing.
constexpr Duration kAnswerReserve = milliseconds(5);
// Each step of priority leaves one of these parts of the room to those above.
constexpr std::size_t kRoomSteps = 8;
// When a refused caller may come back.
constexpr Duration kRetryAfterNoPlan = milliseconds(500);
constexpr Duration kRetryAfterNoTarget = milliseconds(250);
constexpr Duration kRetryAfterOverload = milliseconds(40);
constexpr Duration kRetryAfterPoison = seconds(30);

} // namespace

ForwardEngine::ForwardEngine(const ForwardSettings& aSettings)
  : mSettings(aSettings)
  , mAdmittance([](const ListedTarget&, const CallerId&) { return true; })
  , mNodes{ NodeName() }
  , mNextAttempt(aSettings.mFirstAttempt.value())
  , mRandom(static_cast<std::minstd_rand::result_type>(aSettings.mSeed))
{
}

void
ForwardEngine::SetPlan(ServingPlanPointer aPlan)
{
  if (mPlan && aPlan->Version() <= mPlan->Version()) {
    return;
  }
  mPlan = std::move(aPlan);
}

void
ForwardEngine::SetExtraLimits(const ExtraLimits& aLimits)
{
  mSettings.mExtra = aLimits;
  for (auto& service : mServices) {
    service.second.mBudget->SetLimits(aLimits.mRatio, aLimits.mSlack);
  }
}

void
ForwardEngine::SetAdmittance(Admittance aAdmittance)
{
  mAdmittance = std::move(aAdmittance);
}

void
ForwardEngine::SetNodes(std::vector<NodeName> aSenders, const NodeName& aSelf)
{
  mNodes = std::move(aSenders);
  mSelf = aSelf;
  mSender = std::find(mNodes.begin(), mNodes.end(), aSelf) != mNodes.end();
  if (!mSender) {
    mNodes.push_back(aSelf);
  }
  std::sort(mNodes.begin(), mNodes.end());
  mPlace = static_cast<std::size_t>(
    std::lower_bound(mNodes.begin(), mNodes.end(), aSelf) - mNodes.begin());
}

ForwardActions
ForwardEngine::TakeActions()
{
  return std::exchange(mActions, {});
}

RouteStatistics&
ForwardEngine::StatisticsOf(const Route& aRoute)
{
  return mStatistics.try_emplace(aRoute.mName, aRoute).first->second;
}

ForwardEngine::ServiceState&
ForwardEngine::StateOf(const ServiceName& aService)
{
  ServiceState& state = mServices[aService];
  if (!state.mBudget) {
    state.mBudget = std::make_unique<ExtraBudget>(mSettings.mExtra);
  }
  return state;
}

void
ForwardEngine::AnswerAtOnce(RequestNumber aNumber,
                            ForwardOutcome aOutcome,
                            ForwardSummary aSummary)
{
  AnswerAction& answer = mActions.emplace_back().emplace<AnswerAction>();
  answer.mNumber = aNumber;
  answer.mOutcome = std::move(aOutcome);
  answer.mSummary = std::move(aSummary);
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
  request.mFingerprint =
    FingerprintOf(ServiceName(request.mRequest->mMethod),
                  request.mRequest->mTarget + '\n' + request.mRequest->mBody);
  SetTimes(&request, aNow);
  MakeParts(&request, aNow);
  const std::optional<RefusedOutcome> problem =
    AdmissionProblem(&request, aNow);
  if (problem.has_value()) {
    AnswerAtOnce(aNumber, *problem, request.mSummary);
    return TakeActions();
  }
  Request& placed =
    mRequests.emplace(aNumber, std::move(request)).first->second;
  for (std::size_t i = 0; i < placed.mParts.size(); ++i) {
    StartPart(aNumber, &placed, i, aNow);
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
      aRequest->mParts.emplace_back().mService = shard;
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
      return IsOpen(*aTarget, aCaller) && !aTarget->IsDown(aNow);
    });
}

std::optional<RefusedOutcome>
ForwardEngine::AdmissionProblem(Request* aRequest, Instant aNow)
{
  if (!LeavesTime(*aRequest, aNow)) {
    return RefusedOutcome{ RefusalReason::TooLate, Duration(0) };
  }
  if (mPoison.IsPoisonous(aRequest->mFingerprint, aNow)) {
    return RefusedOutcome{ RefusalReason::Poisonous, kRetryAfterPoison };
  }
  // Less urgent requests leave room for the more urgent ones.
  const std::size_t room =
    mSettings.mMaximumRunning -
    mSettings.mMaximumRunning / kRoomSteps *
      std::min<std::size_t>(aRequest->mRoute->mPriority, kRoomSteps / 2);
  if (mRequests.size() >= room) {
    return RefusedOutcome{ RefusalReason::Overloaded, kRetryAfterOverload };
  }
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

ForwardActions
ForwardEngine::OnReply(AttemptId aAttempt, PartReply aReply, Instant aNow)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return {};
  }
  const Attempt attempt = found->second;
  mAttempts.erase(found);
  const auto statistics = mStatistics.find(attempt.mRoute);
  VERIFY(statistics != mStatistics.end());
  TargetRecord* target = mTargets.Find(attempt.mTarget);
  if (target != nullptr) {
    target->OnReply(aAttempt, aReply, statistics->second.Typical(), aNow);
  }
  if (aReply.mMeaning == ReplyMeaning::Answered) {
    statistics->second.ObserveLatency(aNow - attempt.mSent);
  }
  const auto request = mRequests.find(attempt.mNumber);
  if (request != mRequests.end() && !attempt.mLeftOver) {
    Part& part = request->second.mParts[attempt.mPart];
    std::erase(part.mRunning, aAttempt);
    const bool mayRepeat = aReply.mMeaning != ReplyMeaning::Failed;
    part.mMayHaveRun = part.mMayHaveRun || !mayRepeat ||
                       aReply.mMeaning == ReplyMeaning::Answered;
    if (aReply.mMeaning == ReplyMeaning::Answered) {
      mPoison.OnAnswered(request->second.mFingerprint);
      part.mReply = std::move(aReply);
      part.mState = PartState::Done;
      ++request->second.mSummary.mPartsDone;
      for (const AttemptId loser : std::exchange(part.mRunning, {})) {
        Abandon(loser, aNow);
      }
    } else {
      if (aReply.mMeaning == ReplyMeaning::Failed &&
          !aReply.mSignature.empty()) {
        part.mReply = std::move(aReply);
      }
      RetryPart(attempt.mNumber, &request->second, attempt.mPart, aNow);
    }
    Evaluate(attempt.mNumber, aNow);
  }
  return AfterAttempt(aAttempt, target, aNow);
}

ForwardActions
ForwardEngine::OnFailure(AttemptId aAttempt,
                         AttemptFailure aFailure,
                         Instant aNow)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return {};
  }
  const Attempt attempt = found->second;
  mAttempts.erase(found);
  TargetRecord* target = mTargets.Find(attempt.mTarget);
  if (target != nullptr) {
    target->OnFailure(aAttempt, aFailure, aNow);
  }
  const auto request = mRequests.find(attempt.mNumber);
  if (request != mRequests.end() && !attempt.mLeftOver) {
    Part& part = request->second.mParts[attempt.mPart];
    std::erase(part.mRunning, aAttempt);
    if (aFailure != AttemptFailure::NotSent) {
      part.mMayHaveRun = true;
    }
    if (aFailure == AttemptFailure::Lost) {
      request->second.mLostAt.insert(attempt.mTarget);
    }
    RetryPart(attempt.mNumber, &request->second, attempt.mPart, aNow);
    Evaluate(attempt.mNumber, aNow);
  }
  return AfterAttempt(aAttempt, target, aNow);
}

ForwardActions
ForwardEngine::AfterAttempt(AttemptId aAttempt,
                            const TargetRecord* aTarget,
                            Instant aNow)
{
  std::erase_if(mLeftOvers,
                [&](const auto& aEntry) { return aEntry.second == aAttempt; });
  if (aTarget != nullptr) {
    ServeWaiting(aTarget->Listed().mService, aNow);
  }
  return TakeActions();
}

ForwardActions
ForwardEngine::OnCallerGone(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end()) {
    return {};
  }
  const bool stop =
    found->second.mRoute->mRepeatability == Repeatability::Repeatable;
  for (Part& part : found->second.mParts) {
    for (const AttemptId attempt : part.mRunning) {
      const auto running = mAttempts.find(attempt);
      VERIFY(running != mAttempts.end());
      if (!stop) {
        // Nobody reads the answer, but breaking it off half done helps
        // nobody either.
        running->second.mLeftOver = true;
        continue;
      }
      TargetRecord* target = mTargets.Find(running->second.mTarget);
      if (target != nullptr) {
        target->OnAbandoned(
          attempt, StatisticsOf(*found->second.mRoute).Typical(), aNow);
      }
      mAttempts.erase(running);
      mActions.push_back(CancelAction{ attempt });
    }
  }
  if (found->second.mWake.has_value()) {
    mWakes.erase({ *found->second.mWake, aNumber });
  }
  mRequests.erase(found);
  return TakeActions();
}

ForwardActions
ForwardEngine::OnTime(Instant aNow)
{
  while (!mWakes.empty() && mWakes.begin()->first <= aNow) {
    const RequestNumber number = mWakes.begin()->second;
    mWakes.erase(mWakes.begin());
    WakeRequest(number, aNow);
  }
  while (!mLeftOvers.empty() && mLeftOvers.begin()->first <= aNow) {
    const AttemptId id = mLeftOvers.begin()->second;
    mLeftOvers.erase(mLeftOvers.begin());
    const auto found = mAttempts.find(id);
    if (found == mAttempts.end()) {
      continue;
    }
    const Attempt attempt = found->second;
    mAttempts.erase(found);
    const auto statistics = mStatistics.find(attempt.mRoute);
    TargetRecord* target = mTargets.Find(attempt.mTarget);
    if (target != nullptr && statistics != mStatistics.end()) {
      target->OnAbandoned(id, statistics->second.Typical(), aNow);
      ServeWaiting(target->Listed().mService, aNow);
    }
    mActions.push_back(CancelAction{ id });
  }
  return TakeActions();
}

std::optional<Instant>
ForwardEngine::NextWake() const
{
  std::optional<Instant> next;
  if (!mWakes.empty()) {
    next = mWakes.begin()->first;
  }
  if (!mLeftOvers.empty() &&
      (!next.has_value() || mLeftOvers.begin()->first < *next)) {
    next = mLeftOvers.begin()->first;
  }
  return next;
}

void
ForwardEngine::WakeRequest(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  VERIFY(found != mRequests.end());
  Request& request = found->second;
  request.mWake.reset();
  for (std::size_t i = 0; i < request.mParts.size(); ++i) {
    Part& part = request.mParts[i];
    if (part.mState == PartState::Waiting && aNow >= request.mWaitUntil) {
      part.mState = PartState::Failed;
    }
    if (part.mState == PartState::Running && part.mHedgeAt.has_value() &&
        aNow >= *part.mHedgeAt) {
      part.mHedgeAt.reset();
      HedgePart(aNumber, &request, i, aNow);
    }
  }
  Evaluate(aNumber, aNow);
}

void
ForwardEngine::ScheduleWake(RequestNumber aNumber,
                            Request* aRequest,
                            Instant aNow)
{
  Instant next = aRequest->mDeadline;
  if (aRequest->mShards != nullptr && aRequest->mCut > aNow) {
    next = std::min(next, aRequest->mCut);
  }
  for (const Part& part : aRequest->mParts) {
    if (part.mState == PartState::Waiting) {
      next = std::min(next, aRequest->mWaitUntil);
    }
    if (part.mState == PartState::Running && part.mHedgeAt.has_value()) {
      next = std::min(next, *part.mHedgeAt);
    }
  }
  if (aRequest->mWake == next) {
    return;
  }
  if (aRequest->mWake.has_value()) {
    mWakes.erase({ *aRequest->mWake, aNumber });
  }
  aRequest->mWake = next;
  mWakes.insert({ next, aNumber });
}

void
ForwardEngine::OnStrike(const PoisonStrike& aStrike, Instant aNow)
{
  mPoison.OnStrike(aStrike, aNow);
}

std::vector<PoisonStrike>
ForwardEngine::TakeStrikes()
{
  return std::exchange(mStrikes, {});
}

} // namespace verbenachute
