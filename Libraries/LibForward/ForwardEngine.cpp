#include <LibForward/ForwardEngine.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Time that the last answers need to be written before the process ends.
constexpr Duration kExitReserve = milliseconds(50);

} // namespace

ForwardEngine::ForwardEngine(const ForwardSettings& aSettings)
  : mSettings(aSettings)
  , mAdmissionFilter([](const ListedTarget&, const CallerId&) { return true; })
  , mMayHaveLeft([](AttemptId) { return true; })
  , mNodes{ NodeName() }
  , mNextAttempt(aSettings.mFirstAttempt.value())
  , mRandom(static_cast<std::minstd_rand::result_type>(aSettings.mSeed))
  , mLoad(aSettings.mLoadAdmission)
  , mLoadRandom(static_cast<std::minstd_rand::result_type>(aSettings.mSeed))
{
}

void
ForwardEngine::SetPlan(ServingPlanPointer aPlan)
{
  if (mPlan && aPlan->Version() <= mPlan->Version()) {
    return;
  }
  mPreviousPlan = std::exchange(mPlan, std::move(aPlan));
}

void
ForwardEngine::SetBudgetLimits(const AttemptBudgetLimits& aLimits)
{
  mSettings.mBudgetLimits = aLimits;
  for (auto& service : mServices) {
    service.second.mBudget->SetLimits(aLimits.mRatio, aLimits.mSlack);
  }
}

void
ForwardEngine::SetAdmissionFilter(AdmissionFilter aFilter)
{
  mAdmissionFilter = std::move(aFilter);
}

void
ForwardEngine::SetDepartureCheck(DepartureCheck aCheck)
{
  mMayHaveLeft = std::move(aCheck);
}

void
ForwardEngine::SetNodes(std::vector<NodeName> aServingNodes,
                        const NodeName& aSelf)
{
  mNodes = std::move(aServingNodes);
  mSelf = aSelf;
  mServesCallers =
    std::find(mNodes.begin(), mNodes.end(), aSelf) != mNodes.end();
  if (!mServesCallers) {
    mNodes.push_back(aSelf);
  }
  std::sort(mNodes.begin(), mNodes.end());
  mNodeIndex = static_cast<std::size_t>(
    std::lower_bound(mNodes.begin(), mNodes.end(), aSelf) - mNodes.begin());
}

ForwardActions
ForwardEngine::SetExit(Instant aExit, Instant aNow)
{
  mAnswerBy = aExit - kExitReserve;
  for (auto& [number, request] : mRequests) {
    request.mDeadline = std::min(request.mDeadline, *mAnswerBy);
    request.mWaitUntil = std::min(request.mWaitUntil, *mAnswerBy);
    ScheduleWake(number, &request, aNow);
  }
  return TakeActions();
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
    state.mBudget = std::make_unique<AttemptBudget>(mSettings.mBudgetLimits);
  }
  return state;
}

void
ForwardEngine::AddAnswer(RequestNumber aNumber,
                         ForwardOutcome aOutcome,
                         ForwardSummary aSummary)
{
  AnswerAction& answer = mActions.emplace_back().emplace<AnswerAction>();
  answer.mNumber = aNumber;
  answer.mOutcome = std::move(aOutcome);
  answer.mSummary = std::move(aSummary);
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
  EndAttempt(aAttempt,
             aReply.mKind == ReplyKind::Answered ? AttemptEnd::Answered
             : aReply.mKind == ReplyKind::Failed ? AttemptEnd::Failed
                                                 : AttemptEnd::NotRun,
             aNow);
  const auto statistics = mStatistics.find(attempt.mRoute);
  VERIFY(statistics != mStatistics.end());
  TargetRecord* target = mTargets.Find(attempt.mTarget);
  if (target != nullptr) {
    mDomains.OnResponse(target->DomainIndex());
    const TargetGate before = target->Gate();
    target->OnReply(aAttempt, aReply, statistics->second.MedianLatency(), aNow);
    AddGateNotice(*target, before, aNow);
  }
  if (aReply.mKind == ReplyKind::Answered) {
    statistics->second.ObserveLatency(aNow - attempt.mSent);
    if (aReply.mLoad.has_value()) {
      mLoad.OnAnswered(attempt.mRoute, *aReply.mLoad, aNow - attempt.mSent);
    }
  }
  const auto request = mRequests.find(attempt.mNumber);
  if (request != mRequests.end() && !attempt.mIsAbandoned) {
    Part& part = request->second.mParts[attempt.mPart];
    std::erase(part.mRunning, aAttempt);
    const bool mayRepeat = aReply.mKind != ReplyKind::Failed;
    part.mMayHaveRun =
      part.mMayHaveRun || !mayRepeat || aReply.mKind == ReplyKind::Answered;
    if (aReply.mKind == ReplyKind::Answered) {
      mPoison.OnAnswered(request->second.mFingerprint);
      part.mReply = std::move(aReply);
      if (request->second.mShards != nullptr) {
        KeepTopRecords(*request->second.mShards, &*part.mReply);
      }
      part.mState = PartState::Done;
      ++request->second.mSummary.mPartsDone;
      for (const AttemptId superseded : std::exchange(part.mRunning, {})) {
        Abandon(superseded, aNow);
      }
    } else {
      if (aReply.mKind == ReplyKind::Failed && !aReply.mSignature.empty() &&
          request->second.mShards == nullptr) {
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
  EndAttempt(aAttempt,
             aFailure == AttemptFailure::NotSent ? AttemptEnd::NotRun
                                                 : AttemptEnd::Failed,
             aNow);
  TargetRecord* target = mTargets.Find(attempt.mTarget);
  if (target != nullptr) {
    mDomains.OnNoResponse(target->DomainIndex(), attempt.mTarget, aNow);
    target->OnFailure(aAttempt, aFailure, aNow);
  }
  const auto request = mRequests.find(attempt.mNumber);
  if (request != mRequests.end() && !attempt.mIsAbandoned) {
    Part& part = request->second.mParts[attempt.mPart];
    std::erase(part.mRunning, aAttempt);
    if (aFailure != AttemptFailure::NotSent) {
      part.mMayHaveRun = true;
    }
    if (aFailure == AttemptFailure::ConnectionLost ||
        aFailure == AttemptFailure::ResponseTruncated) {
      request->second.mLostTargets.insert(PoisonObservation{
        request->second.mFingerprint, attempt.mTarget, attempt.mTargetStart });
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
  std::erase_if(mAbandonedAttempts,
                [&](const auto& aEntry) { return aEntry.second == aAttempt; });
  if (aTarget != nullptr) {
    UpdateDoubt(*aTarget);
    StartWaitingParts(aTarget->Listed().mService, aNow);
  }
  return TakeActions();
}

void
ForwardEngine::UpdateDoubt(const TargetRecord& aTarget)
{
  if (!aTarget.Doubt().Exists() && mDoubtedTargets.empty()) {
    return;
  }
  const ListedTarget& listed = aTarget.Listed();
  const bool matters =
    mPlan && LimitsColdTargets(mPlan->FindService(listed.mService));
  if (matters && aTarget.Doubt().Exists()) {
    if (mDoubtedTargets.insert(listed.mName).second) {
      const double rate = mPlan->FindService(listed.mService)->mColdRate;
      mGateNotices.push_back(
        GateNotice{ listed.mName, HoldReason::ColdRate, rate });
    }
  } else if (mDoubtedTargets.erase(listed.mName) > 0) {
    mGateNotices.push_back(
      GateNotice{ listed.mName, HoldReason::ColdRate, std::nullopt });
  }
}

std::optional<Instant>
ForwardEngine::ListNeededAsOf() const
{
  std::optional<Instant> needed;
  for (const TargetName& name : mDoubtedTargets) {
    const TargetRecord* target = mTargets.Find(name);
    const std::optional<Instant> own =
      target == nullptr ? std::nullopt : target->Doubt().ListNeededAsOf();
    if (own.has_value()) {
      needed = std::min(needed.value_or(*own), *own);
    }
  }
  return needed;
}

ForwardActions
ForwardEngine::OnListKnown(Instant aAsOf, Instant aNow)
{
  for (const TargetName& name : std::set<TargetName>(mDoubtedTargets)) {
    TargetRecord* target = mTargets.Find(name);
    if (target == nullptr) {
      mDoubtedTargets.erase(name);
      continue;
    }
    target->OnListKnown(aAsOf);
    UpdateDoubt(*target);
    StartWaitingParts(target->Listed().mService, aNow);
  }
  return TakeActions();
}

ForwardActions
ForwardEngine::OnCallerDisconnected(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end()) {
    return {};
  }
  const bool mayCancel =
    found->second.mRoute->mRepeatPolicy == RepeatPolicy::Idempotent;
  for (Part& part : found->second.mParts) {
    for (const AttemptId attempt : part.mRunning) {
      const auto running = mAttempts.find(attempt);
      VERIFY(running != mAttempts.end());
      if (!mayCancel && mMayHaveLeft(attempt)) {
        // A request that must not run twice is left to complete: the answer is
        // not needed, but cancelling it midway would leave it half done.
        running->second.mIsAbandoned = true;
        continue;
      }
      TargetRecord* target = mTargets.Find(running->second.mTarget);
      if (target != nullptr) {
        target->OnAbandoned(
          attempt, StatisticsOf(*found->second.mRoute).MedianLatency(), aNow);
        UpdateDoubt(*target);
      }
      mAttempts.erase(running);
      EndAttempt(attempt, AttemptEnd::Abandoned, aNow);
      mActions.push_back(CancelAction{ attempt });
    }
  }
  CancelDelegations(&found->second, CancelReason::CallerDisconnected);
  EraseRequest(found);
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
  while (!mAbandonedAttempts.empty() &&
         mAbandonedAttempts.begin()->first <= aNow) {
    const AttemptId id = mAbandonedAttempts.begin()->second;
    mAbandonedAttempts.erase(mAbandonedAttempts.begin());
    const auto found = mAttempts.find(id);
    if (found == mAttempts.end()) {
      continue;
    }
    const Attempt attempt = found->second;
    mAttempts.erase(found);
    EndAttempt(id, AttemptEnd::Abandoned, aNow);
    const auto statistics = mStatistics.find(attempt.mRoute);
    TargetRecord* target = mTargets.Find(attempt.mTarget);
    if (target != nullptr && statistics != mStatistics.end()) {
      target->OnAbandoned(id, statistics->second.MedianLatency(), aNow);
      UpdateDoubt(*target);
      StartWaitingParts(target->Listed().mService, aNow);
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
  if (!mAbandonedAttempts.empty() &&
      (!next.has_value() || mAbandonedAttempts.begin()->first < *next)) {
    next = mAbandonedAttempts.begin()->first;
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
  for (const DelegationNumber delegation :
       std::vector<DelegationNumber>(request.mDelegations)) {
    HedgeOverdueDelegation(delegation, &request, aNow);
  }
  std::vector<std::size_t> late;
  for (std::size_t i = 0; i < request.mParts.size(); ++i) {
    Part& part = request.mParts[i];
    if (part.mState == PartState::Waiting && aNow >= request.mWaitUntil) {
      part.mState = PartState::Failed;
    }
    if (part.mState == PartState::Waiting && part.mRetryAt.has_value() &&
        aNow >= *part.mRetryAt) {
      // The peers' targets may have become free.
      part.mUnableDomains.reset();
      RestartWaitingPart(aNumber, &request, i, aNow);
    }
    if (part.mState == PartState::Running && part.mHedgeAt.has_value() &&
        aNow >= *part.mHedgeAt) {
      part.mHedgeAt.reset();
      RecordUnresponsiveTargets(part, aNow);
      late.push_back(i);
    }
  }
  HedgeParts(aNumber, &request, late, aNow);
  Evaluate(aNumber, aNow);
}

void
ForwardEngine::ScheduleWake(RequestNumber aNumber,
                            Request* aRequest,
                            Instant aNow)
{
  Instant next = aRequest->mDeadline;
  if (aRequest->mShards != nullptr && aRequest->mPartialAnswerAt > aNow) {
    next = std::min(next, aRequest->mPartialAnswerAt);
  }
  if (aRequest->mReportAt.has_value() && !aRequest->mHasReported) {
    next = std::min(next, *aRequest->mReportAt);
  }
  for (const DelegationNumber number : aRequest->mDelegations) {
    const std::optional<Instant>& due = mDelegations.at(number).mReportDue;
    next = std::min(next, due.value_or(next));
  }
  for (const Part& part : aRequest->mParts) {
    if (part.mState == PartState::Waiting) {
      next = std::min(next, aRequest->mWaitUntil);
      next = std::min(next, part.mRetryAt.value_or(next));
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

bool
ForwardEngine::IsDomainUnreachable(const FailureDomain& aDomain,
                                   Instant aNow) const
{
  return mDomains.IsUnreachable(mTargets.FindDomainIndex(aDomain), aNow);
}

void
ForwardEngine::OnPoisonObservation(const PoisonObservation& aObservation,
                                   Instant aNow)
{
  AddPoisonObservation(aObservation, PoisonNotice::Source::Peer, aNow);
}

void
ForwardEngine::OnPoisonConviction(const PoisonConviction& aConviction,
                                  Instant aNow)
{
  const PoisonChange change = mPoison.OnConviction(aConviction, aNow);
  if (change != PoisonChange::None) {
    mPoisonNotices.push_back(
      PoisonNotice{ PoisonObservation{ aConviction.mFingerprint, TargetName() },
                    change,
                    PoisonNotice::Source::Peer });
  }
}

void
ForwardEngine::AddPoisonObservation(const PoisonObservation& aObservation,
                                    PoisonNotice::Source aSource,
                                    Instant aNow)
{
  const PoisonChange change = mPoison.OnPoisonObservation(aObservation, aNow);
  if (change != PoisonChange::None) {
    mPoisonNotices.push_back(PoisonNotice{ aObservation, change, aSource });
  }
}

std::vector<PoisonObservation>
ForwardEngine::TakePoisonObservations()
{
  return std::exchange(mPoisonObservations, {});
}

void
ForwardEngine::AddGateNotice(const TargetRecord& aTarget,
                             const TargetGate& aBefore,
                             Instant aNow)
{
  const std::optional<double>& rate = aTarget.Gate().NamedRate();
  if (rate.has_value() != aBefore.NamedRate().has_value()) {
    mGateNotices.push_back(
      GateNotice{ aTarget.Listed().mName, HoldReason::NamedRate, rate });
  }
  if (aTarget.Gate().IsLeaving() && !aBefore.IsLeaving()) {
    mGateNotices.push_back(
      GateNotice{ aTarget.Listed().mName, HoldReason::Leaving, std::nullopt });
  }
  const Instant pausedUntil = aTarget.Gate().PausedUntil();
  if (pausedUntil > aBefore.PausedUntil()) {
    const std::chrono::duration<double> pause = pausedUntil - aNow;
    mGateNotices.push_back(
      GateNotice{ aTarget.Listed().mName, HoldReason::Paused, pause.count() });
  }
}

std::vector<GateNotice>
ForwardEngine::TakeGateNotices()
{
  return std::exchange(mGateNotices, {});
}

std::vector<PoisonNotice>
ForwardEngine::TakePoisonNotices()
{
  return std::exchange(mPoisonNotices, {});
}

} // namespace verbenachute
