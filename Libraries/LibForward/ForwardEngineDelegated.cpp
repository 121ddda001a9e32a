#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <numeric>
#include <utility>

// Shards that this node gathers for a peer. One target is asked for each,
// once; the peer decides on any further attempt.

namespace verbenachute {

ServingPlanPointer
ForwardEngine::PlanOf(PlanVersion aVersion) const
{
  for (const ServingPlanPointer& plan : { mPlan, mPlanBefore }) {
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
ForwardEngine::SubmitDelegated(RequestNumber aNumber,
                               const DelegatedOrder& aOrder,
                               Instant aNow)
{
  VERIFY(!mRequests.contains(aNumber));
  Request request;
  request.mRequest = aOrder.mRequest;
  request.mPlan = PlanOf(aOrder.mPlan);
  request.mRoute = request.mPlan
                     ? request.mPlan->FindRoute(aOrder.mRequest->mHost,
                                                aOrder.mRequest->mTarget)
                     : nullptr;
  request.mShards = request.mRoute
                      ? std::get_if<ShardSet>(&request.mRoute->mDestination)
                      : nullptr;
  if (request.mShards == nullptr || aOrder.mPlaces.empty() ||
      aOrder.mPlaces.back() >= request.mShards->mShards.size()) {
    RefuseDelegated(aNumber, RefusalReason::NoPlan);
    return TakeActions();
  }
  request.mFingerprint = FingerprintOfRequest(*request.mRequest);
  request.mDeadline = aNow + aOrder.mTimeLeft;
  request.mCut = request.mDeadline;
  for (const std::size_t place : aOrder.mPlaces) {
    Part& part = request.mParts.emplace_back();
    part.mPlace = place;
    part.mService = request.mShards->mShards[place];
  }
  const Duration patience = HedgeDelay(request, request.mParts.front(), aNow);
  request.mReportAt = aNow + std::min(patience, aOrder.mTimeLeft);
  request.mWaitUntil = *request.mReportAt;
  const std::optional<RefusedOutcome> problem = AdmissionProblem(request, aNow);
  if (problem.has_value()) {
    RefuseDelegated(aNumber, problem->mReason);
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

ForwardActions
ForwardEngine::OnRecalled(RequestNumber aNumber,
                          RecallReason aReason,
                          Instant aNow)
{
  if (aReason == RecallReason::CallerGone) {
    return OnCallerGone(aNumber, aNow);
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
  const bool late = aNow >= aRequest->mDeadline;
  std::vector<std::size_t> news;
  std::size_t open = 0;
  for (std::size_t i = 0; i < aRequest->mParts.size(); ++i) {
    Part& part = aRequest->mParts[i];
    bool ended =
      part.mState == PartState::Done || part.mState == PartState::Failed;
    if (late && !ended) {
      part.mMayHaveRun = part.mMayHaveRun || part.mState == PartState::Running;
      part.mState = PartState::Failed;
      ended = true;
    }
    open += ended ? 0 : 1;
    if (ended && !part.mTold) {
      news.push_back(i);
    }
  }
  if (!aRequest->mReported) {
    if (open > 0 && aNow < *aRequest->mReportAt) {
      return;
    }
    aRequest->mReported = true;
    news.resize(aRequest->mParts.size());
    std::iota(news.begin(), news.end(), std::size_t{ 0 });
    Report(aNumber, aRequest, news);
  } else {
    // One at a time, so that the peer may leave out any of them.
    for (const std::size_t part : news) {
      Report(aNumber, aRequest, { part });
    }
  }
  if (open == 0) {
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
    part.mTold = part.mState != PartState::Running;
    if (part.mState == PartState::Done) {
      report.mAnswered.push_back(
        AnsweredPlace{ part.mPlace, part.mReply->mSignature });
      bodies.push_back(part.mReply->mBody);
      continue;
    }
    UnansweredPlace& unanswered = report.mUnanswered.emplace_back();
    unanswered.mPlace = part.mPlace;
    if (!part.mTried.empty()) {
      unanswered.mTarget = part.mTried.front();
    }
    if (part.mState != PartState::Running) {
      part.mState = PartState::Failed;
      unanswered.mState =
        part.mMayHaveRun ? AttemptState::Failed : AttemptState::NotRun;
    }
  }
  report.mRecords = MergeGreatest(bodies, aRequest->mShards->mGreatest);
  const bool last = std::all_of(aRequest->mParts.begin(),
                                aRequest->mParts.end(),
                                [](const Part& aPart) { return aPart.mTold; });
  mActions.push_back(ReportAction{ aNumber, std::move(report), last });
}

void
ForwardEngine::FinishDelegated(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  VERIFY(found != mRequests.end());
  AbandonAll(found->second, aNow);
  NoteStrikes(found->second, aNow);
  Forget(found);
}

} // namespace verbenachute
