#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>
#include <LibForward/RetryAfter.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// How requests end.

namespace verbenachute {

namespace {

// An attempt that lost the race to another may end by itself for this long;
// its connection stays in use then. After that the target is spared the work.
constexpr Duration kLeftOverTime = milliseconds(300);

} // namespace

void
ForwardEngine::Evaluate(RequestNumber aNumber, Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  if (found == mRequests.end()) {
    return;
  }
  if (found->second.mReportAt.has_value()) {
    EvaluateDelegated(aNumber, &found->second, aNow);
  } else if (found->second.mShards != nullptr) {
    EvaluateGather(aNumber, &found->second, aNow);
  } else {
    EvaluateSingle(aNumber, &found->second, aNow);
  }
  const auto still = mRequests.find(aNumber);
  if (still != mRequests.end()) {
    ScheduleWake(aNumber, &still->second, aNow);
  }
}

void
ForwardEngine::EvaluateSingle(RequestNumber aNumber,
                              Request* aRequest,
                              Instant aNow)
{
  Part& part = aRequest->mParts.front();
  if (part.mState == PartState::Done) {
    Finish(aNumber, RelayedOutcome{ std::move(*part.mReply) }, aNow);
    return;
  }
  if (part.mState == PartState::Failed) {
    if (part.mReply.has_value()) {
      Finish(aNumber, RelayedOutcome{ std::move(*part.mReply) }, aNow);
      return;
    }
    GiveUp(aNumber, aRequest, aNow);
    return;
  }
  if (aNow >= aRequest->mDeadline) {
    if (part.mState == PartState::Waiting) {
      Finish(aNumber,
             RefusedOutcome{ RefusalReason::Overloaded, Duration(0) },
             aNow);
      return;
    }
    Finish(aNumber, FailedOutcome{ FailureReason::DeadlinePassed }, aNow);
  }
}

void
ForwardEngine::EvaluateGather(RequestNumber aNumber,
                              Request* aRequest,
                              Instant aNow)
{
  std::size_t done = 0;
  std::size_t failed = 0;
  for (const Part& part : aRequest->mParts) {
    done += part.mState == PartState::Done ? 1 : 0;
    failed += part.mState == PartState::Failed ? 1 : 0;
  }
  const std::size_t total = aRequest->mParts.size();
  const std::size_t least = aRequest->mShards->LeastParts();
  const bool enough = done >= least;
  const bool settled = done + failed == total;
  if (enough && (settled || aNow >= aRequest->mCut)) {
    Finish(aNumber, Merged(*aRequest), aNow);
    return;
  }
  if (total - failed < least) {
    GiveUp(aNumber, aRequest, aNow);
    return;
  }
  if (aNow >= aRequest->mDeadline) {
    Finish(aNumber, FailedOutcome{ FailureReason::DeadlinePassed }, aNow);
  }
}

void
ForwardEngine::GiveUp(RequestNumber aNumber, Request* aRequest, Instant aNow)
{
  const bool mayHaveRun = std::any_of(
    aRequest->mParts.begin(), aRequest->mParts.end(), [](const Part& aPart) {
      return aPart.mMayHaveRun || !aPart.mRunning.empty() ||
             aPart.mDelegation.has_value();
    });
  if (mayHaveRun) {
    Finish(aNumber, FailedOutcome{ FailureReason::AttemptsFailed }, aNow);
    return;
  }
  const bool sent = aRequest->mSummary.mAttempts > 0;
  Finish(aNumber,
         sent ? RefusedOutcome{ RefusalReason::Declined, kRetryAfterDeclined }
              : RefusedOutcome{ RefusalReason::NoTarget, kRetryAfterNoTarget },
         aNow);
}

ForwardOutcome
ForwardEngine::Merged(const Request& aRequest) const
{
  GatheredOutcome outcome;
  std::vector<std::string_view> parts;
  for (const Part& part : aRequest.mParts) {
    if (part.mState != PartState::Done) {
      ++outcome.mMissing;
      continue;
    }
    if (part.mBlock.has_value()) {
      continue;
    }
    parts.push_back(part.mReply->mBody);
    outcome.mSignatures.push_back(part.mReply->mSignature);
  }
  for (const AnswerBlock& block : aRequest.mBlocks) {
    parts.push_back(block.mRecords);
    outcome.mSignatures.insert(outcome.mSignatures.end(),
                               block.mSignatures.begin(),
                               block.mSignatures.end());
  }
  VERIFY(outcome.mSignatures.size() + outcome.mMissing ==
         aRequest.mParts.size());
  VERIFY(outcome.mSignatures.size() >= aRequest.mShards->LeastParts());
  outcome.mRecords = MergeGreatest(parts, aRequest.mShards->mGreatest);
  return outcome;
}

void
ForwardEngine::Abandon(AttemptId aAttempt, Instant aNow)
{
  const auto found = mAttempts.find(aAttempt);
  VERIFY(found != mAttempts.end());
  found->second.mLeftOver = true;
  mLeftOvers.insert({ aNow + kLeftOverTime, aAttempt });
}

void
ForwardEngine::AbandonAll(const Request& aRequest, Instant aNow)
{
  for (const Part& part : aRequest.mParts) {
    for (const AttemptId attempt : part.mRunning) {
      Abandon(attempt, aNow);
    }
  }
}

void
ForwardEngine::Forget(Requests::iterator aRequest)
{
  if (aRequest->second.mWake.has_value()) {
    mWakes.erase({ *aRequest->second.mWake, aRequest->first });
  }
  mRequests.erase(aRequest);
}

void
ForwardEngine::Finish(RequestNumber aNumber,
                      ForwardOutcome aOutcome,
                      Instant aNow)
{
  const auto found = mRequests.find(aNumber);
  VERIFY(found != mRequests.end());
  Request& request = found->second;
  AbandonAll(request, aNow);
  for (const Part& part : request.mParts) {
    if (part.mState != PartState::Done) {
      request.mSummary.AddMissing(part.mService);
    }
  }
  NoteStrikes(request, aNow);
  RecallAll(&request, RecallReason::Settled);
  request.mSummary.mElapsed = aNow - request.mRequest->mArrived;
  AnswerAtOnce(aNumber, std::move(aOutcome), std::move(request.mSummary));
  Forget(found);
}

void
ForwardEngine::NoteStrikes(const Request& aRequest, Instant aNow)
{
  if (aRequest.mLostAt.empty() || aRequest.mSummary.mPartsDone > 0) {
    return;
  }
  for (const TargetName& target : aRequest.mLostAt) {
    mStrikes.push_back(PoisonStrike{ aRequest.mFingerprint, target });
    mPoison.OnStrike(mStrikes.back(), aNow);
  }
}

} // namespace verbenachute
