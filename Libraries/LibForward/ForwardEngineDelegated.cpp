#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// Delegations that this node serves for a peer. It makes one attempt for each
// shard; the delegating peer decides on any further attempt.

namespace verbenachute {

ServingPlanPointer
ForwardEngine::PlanOf(PlanVersion aVersion) const
{
  for (const ServingPlanPointer& plan : { mPlan, mPreviousPlan }) {
    if (plan && plan->Version() == aVersion) {
      return plan;
    }
  }
  return nullptr;
}

void
ForwardEngine::RefuseDelegated(RequestNumber aNumber, RefusalReason aReason)
{
  mActions.push_back(
    ReportAction{ aNumber, DelegationRefusal{ aReason }, true });
}

ForwardActions
ForwardEngine::SubmitDelegation(RequestNumber aNumber,
                                const DelegationRequest& aRequest,
                                Instant aNow)
{
  VERIFY(!mRequests.contains(aNumber));
  Request request;
  request.mRequest = aRequest.mRequest;
  request.mPlan = PlanOf(aRequest.mPlan);
  request.mRoute = request.mPlan
                     ? request.mPlan->FindRoute(aRequest.mRequest->mHost,
                                                aRequest.mRequest->mTarget)
                     : nullptr;
  request.mShards = request.mRoute
                      ? std::get_if<ShardSet>(&request.mRoute->mDestination)
                      : nullptr;
  if (request.mShards == nullptr || aRequest.mShardIndexes.empty() ||
      aRequest.mShardIndexes.back() >= request.mShards->mShards.size()) {
    RefuseDelegated(aNumber, RefusalReason::NoPlan);
    return TakeActions();
  }
  request.mFingerprint = FingerprintOfRequest(*request.mRequest);
  request.mDeadline = aNow + aRequest.mTimeLeft;
  request.mPartialAnswerAt = request.mDeadline;
  request.mFloor = aRequest.mFloor;
  for (const std::size_t shard : aRequest.mShardIndexes) {
    Part& part = request.mParts.emplace_back();
    part.mShardIndex = shard;
    part.mService = request.mShards->mShards[shard];
  }
  const Duration reportDelay =
    HedgeDelay(request, request.mParts.front(), aNow);
  request.mReportAt = aNow + std::min(reportDelay, aRequest.mTimeLeft);
  request.mWaitUntil = *request.mReportAt;
  const std::optional<RefusedOutcome> refusal = AdmissionRefusal(request, aNow);
  if (refusal.has_value()) {
    RefuseDelegated(aNumber, refusal->mReason);
    return TakeActions();
  }
  Request& accepted =
    mRequests.emplace(aNumber, std::move(request)).first->second;
  std::vector<std::size_t> notAsked;
  for (std::size_t i = 0; i < accepted.mParts.size(); ++i) {
    StartDelegatedPart(aNumber, &accepted, i, aRequest.mUrgency, aNow);
    if (accepted.mParts[i].mState == PartState::Failed) {
      notAsked.push_back(i);
    }
  }
  if (!notAsked.empty() && notAsked.size() < accepted.mParts.size()) {
    Report(aNumber, &accepted, notAsked);
  }
  Evaluate(aNumber, aNow);
  return TakeActions();
}

void
ForwardEngine::StartDelegatedPart(RequestNumber aNumber,
                                  Request* aRequest,
                                  std::size_t aPart,
                                  DelegationUrgency aUrgency,
                                  Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  const Choice choice = ChooseTarget(*aRequest,
                                     part,
                                     aUrgency == DelegationUrgency::Always
                                       ? TargetScope::OwnDomain
                                       : TargetScope::AllDomains,
                                     AttemptPurpose::First,
                                     aNow);
  if (choice.mTarget == nullptr ||
      choice.mTarget->Listed().mDomain != mSettings.mDomain) {
    part.mState = PartState::Failed;
    return;
  }
  Send(aNumber, aRequest, aPart, choice.mTarget, AttemptPurpose::First, aNow);
}

ForwardActions
ForwardEngine::OnDelegationCancelled(RequestNumber aNumber,
                                     CancelReason aReason,
                                     Instant aNow)
{
  if (aReason == CancelReason::CallerDisconnected) {
    return OnCallerDisconnected(aNumber, aNow);
  }
  if (mRequests.contains(aNumber)) {
    FinishDelegated(aNumber, aNow);
  }
  return TakeActions();
}

void
ForwardEngine::EvaluateDelegated(RequestNumber aNumber,
                                 Request* aRequest,
                                 Instant aNow)
{
  const bool isPastDeadline = aNow >= aRequest->mDeadline;
  std::vector<std::size_t> unreportedParts;
  std::vector<std::size_t> endedParts;
  std::size_t openParts = 0;
  for (std::size_t i = 0; i < aRequest->mParts.size(); ++i) {
    Part& part = aRequest->mParts[i];
    bool ended =
      part.mState == PartState::Done || part.mState == PartState::Failed;
    if (isPastDeadline && !ended) {
      part.mMayHaveRun = part.mMayHaveRun || part.mState == PartState::Running;
      part.mState = PartState::Failed;
      ended = true;
    }
    openParts += ended ? 0 : 1;
    if (!part.mIsEndReported) {
      unreportedParts.push_back(i);
      if (ended) {
        endedParts.push_back(i);
      }
    }
  }
  if (!aRequest->mHasReported) {
    if (openParts > 0 && aNow < *aRequest->mReportAt) {
      return;
    }
    aRequest->mHasReported = true;
    Report(aNumber, aRequest, unreportedParts);
  } else {
    // Each part has a report of its own, so that the peer can discard any of
    // them.
    for (const std::size_t part : endedParts) {
      Report(aNumber, aRequest, { part });
    }
  }
  if (openParts == 0) {
    FinishDelegated(aNumber, aNow);
  }
}

void
ForwardEngine::Report(RequestNumber aNumber,
                      Request* aRequest,
                      const std::vector<std::size_t>& aParts)
{
  DelegationReport report;
  std::vector<std::string_view> bodies;
  for (const std::size_t index : aParts) {
    Part& part = aRequest->mParts[index];
    part.mIsEndReported = part.mState != PartState::Running;
    if (part.mState == PartState::Done) {
      report.mAnswered.push_back(
        AnsweredShard{ part.mShardIndex, part.mReply->mSignature, "" });
      bodies.push_back(part.mReply->mBody);
      continue;
    }
    UnansweredShard& unanswered = report.mUnanswered.emplace_back();
    unanswered.mShardIndex = part.mShardIndex;
    if (!part.mTriedTargets.empty()) {
      unanswered.mTarget = part.mTriedTargets.front();
    }
    if (part.mState != PartState::Running) {
      part.mState = PartState::Failed;
      unanswered.mState =
        part.mMayHaveRun ? AttemptState::Failed : AttemptState::NotRun;
    }
  }
  SelectedRecords selected = SelectTopRecords(
    bodies, aRequest->mShards->mMaximumRecords, aRequest->mFloor);
  report.mFloor = std::move(selected.mFloor);
  for (std::size_t i = 0; i < report.mAnswered.size(); ++i) {
    report.mAnswered[i].mRecords = std::move(selected.mParts[i]);
  }
  const bool last =
    std::all_of(aRequest->mParts.begin(),
                aRequest->mParts.end(),
                [](const Part& aPart) { return aPart.mIsEndReported; });
  mActions.push_back(ReportAction{ aNumber, std::move(report), last });
}

void
ForwardEngine::FinishDelegated(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  VERIFY(found != mRequests.end());
  AbandonAll(found->second, aNow);
  RecordPoisonObservations(found->second, aNow);
  EraseRequest(found);
}

} // namespace verbenachute
