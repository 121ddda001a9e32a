#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>
#include <LibForward/RetryAfter.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// Outcomes of requests.

namespace verbenachute {

namespace {

// How long an abandoned attempt may still complete, which keeps its connection
// reusable. After that it is cancelled to spare the target the work.
constexpr Duration kAbandonedAttemptGrace = milliseconds(300);
// Smaller parts are kept as they are, which is cheaper than sorting them.
constexpr std::size_t kMinimumReducedBytes = 4096;

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
  const auto unfinished = mRequests.find(aNumber);
  if (unfinished != mRequests.end()) {
    ScheduleWake(aNumber, &unfinished->second, aNow);
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
    // A failure of the target's own is an answer, but not with a status from
    // which the caller would conclude that it may send the request again.
    const bool mayRelay =
      part.mReply.has_value() &&
      (!part.mReply->mReadsAsNotRun ||
       aRequest->mRoute->mRepeatPolicy == RepeatPolicy::Idempotent);
    if (mayRelay) {
      Finish(aNumber, RelayedOutcome{ std::move(*part.mReply) }, aNow);
      return;
    }
    FinishUnanswered(aNumber, aRequest, aNow);
    return;
  }
  if (aNow >= aRequest->mDeadline) {
    if (part.mState == PartState::Waiting) {
      Finish(aNumber,
             RefusedOutcome{ RefusalReason::Overloaded, Duration(0) },
             aNow);
      return;
    }
    FinishUnanswered(aNumber, aRequest, aNow);
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
  const std::size_t minimum = aRequest->mShards->MinimumShards();
  const bool hasMinimum = done >= minimum;
  const bool settled = done + failed == total;
  if (hasMinimum && (settled || aNow >= aRequest->mPartialAnswerAt)) {
    GatheredOutcome outcome = MergeParts(*aRequest);
    const std::vector<std::size_t> inexact =
      InexactParts(*aRequest, outcome.mRecords);
    if (!inexact.empty()) {
      RepeatParts(aNumber, aRequest, inexact, aNow);
      EvaluateGather(aNumber, aRequest, aNow);
      return;
    }
    StatisticsOf(*aRequest->mRoute)
      .RecordFloor()
      .Observe(outcome.mRecords, total, aRequest->mShards->mMaximumRecords);
    Finish(aNumber, std::move(outcome), aNow);
    return;
  }
  if (total - failed < minimum || aNow >= aRequest->mDeadline) {
    FinishUnanswered(aNumber, aRequest, aNow);
  }
}

bool
ForwardEngine::MayHaveRun(const Request& aRequest) const
{
  // A caller may repeat an idempotent request in any case, and connections that
  // are being made are of use to other requests.
  const bool isIdempotent =
    aRequest.mRoute->mRepeatPolicy == RepeatPolicy::Idempotent;
  const auto mayHaveRun = [&](AttemptId aAttempt) {
    return isIdempotent || mMayHaveLeft(aAttempt);
  };
  return std::any_of(
    aRequest.mParts.begin(), aRequest.mParts.end(), [&](const Part& aPart) {
      return aPart.mMayHaveRun || !aPart.mDelegations.empty() ||
             std::any_of(
               aPart.mRunning.begin(), aPart.mRunning.end(), mayHaveRun);
    });
}

void
ForwardEngine::FinishUnanswered(RequestNumber aNumber,
                                Request* aRequest,
                                Instant aNow)
{
  if (MayHaveRun(*aRequest)) {
    const FailureReason reason = aNow >= aRequest->mDeadline
                                   ? FailureReason::DeadlinePassed
                                   : FailureReason::AttemptsFailed;
    Finish(aNumber, FailedOutcome{ reason }, aNow);
    return;
  }
  aRequest->mSummary.mMissingServices.clear();
  const std::optional<RefusedOutcome> held = CoverageRefusal(aRequest, aNow);
  aRequest->mSummary.mMissingServices.clear();
  if (held.has_value() && held->mReason == RefusalReason::TargetsHeld) {
    Finish(aNumber, *held, aNow);
    return;
  }
  const bool isConnecting =
    std::any_of(aRequest->mParts.begin(),
                aRequest->mParts.end(),
                [](const Part& aPart) { return !aPart.mRunning.empty(); });
  const bool declined = aRequest->mSummary.mAttempts > 0 && !isConnecting;
  Finish(aNumber,
         declined
           ? RefusedOutcome{ RefusalReason::Declined, kRetryAfterDeclined }
           : RefusedOutcome{ RefusalReason::NoTarget, kRetryAfterNoTarget },
         aNow);
}

std::string
ForwardEngine::MergedRecords(const Request& aRequest)
{
  std::vector<std::string_view> parts;
  for (const Part& part : aRequest.mParts) {
    if (part.mState == PartState::Done) {
      parts.push_back(part.mReply->mBody);
    }
  }
  return MergeTopRecords(parts, aRequest.mShards->mMaximumRecords);
}

void
ForwardEngine::KeepTopRecords(const ShardSet& aShards, PartReply* aReply)
{
  aReply->mFields = HttpFields();
  const std::size_t needed = aShards.mMaximumRecords * kRecordBytes;
  if (aReply->mBody.size() > std::max(needed, kMinimumReducedBytes)) {
    aReply->mBody = MergeTopRecords({ aReply->mBody }, aShards.mMaximumRecords);
  }
  if (aReply->mCharge != nullptr) {
    aReply->mCharge->Resize(aReply->mBody.capacity() +
                            aReply->mSignature.capacity());
  }
}

GatheredOutcome
ForwardEngine::MergeParts(const Request& aRequest) const
{
  GatheredOutcome outcome;
  for (const Part& part : aRequest.mParts) {
    if (part.mState == PartState::Done) {
      outcome.mSignatures.push_back(part.mReply->mSignature);
    }
  }
  outcome.mMissingParts = aRequest.mParts.size() - outcome.mSignatures.size();
  VERIFY(outcome.mSignatures.size() >= aRequest.mShards->MinimumShards());
  outcome.mRecords = MergedRecords(aRequest);
  return outcome;
}

std::vector<std::size_t>
ForwardEngine::InexactParts(const Request& aRequest,
                            const std::string& aRecords)
{
  // What a part lacks is not above its floor. If the answer is full and its
  // least record is not below the floor, nothing that is missing belongs to it.
  const std::size_t fullBytes =
    aRequest.mShards->mMaximumRecords * kRecordBytes;
  const std::string_view least =
    aRecords.size() < fullBytes
      ? std::string_view()
      : std::string_view(aRecords).substr(aRecords.size() - kRecordBytes);
  std::vector<std::size_t> inexact;
  for (std::size_t i = 0; i < aRequest.mParts.size(); ++i) {
    const Part& part = aRequest.mParts[i];
    if (part.mState == PartState::Done && part.mFloor > least) {
      inexact.push_back(i);
    }
  }
  return inexact;
}

void
ForwardEngine::RepeatParts(RequestNumber aNumber,
                           Request* aRequest,
                           const std::vector<std::size_t>& aParts,
                           Instant aNow)
{
  StatisticsOf(*aRequest->mRoute).RecordFloor().OnMiss();
  for (const std::size_t index : aParts) {
    Part& part = aRequest->mParts[index];
    part.mReply.reset();
    part.mFloor.clear();
    part.mState = PartState::Running;
    part.mMayHaveRun = true;
    --aRequest->mSummary.mPartsDone;
    RetryPart(aNumber, aRequest, index, aNow);
  }
}

void
ForwardEngine::Abandon(AttemptId aAttempt, Instant aNow)
{
  const auto found = mAttempts.find(aAttempt);
  VERIFY(found != mAttempts.end());
  found->second.mIsAbandoned = true;
  mAbandonedAttempts.insert({ aNow + kAbandonedAttemptGrace, aAttempt });
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
ForwardEngine::CancelAll(const Request& aRequest, Instant aNow)
{
  for (const Part& part : aRequest.mParts) {
    for (const AttemptId attempt : part.mRunning) {
      const auto found = mAttempts.find(attempt);
      VERIFY(found != mAttempts.end());
      found->second.mIsAbandoned = true;
      mAbandonedAttempts.insert({ aNow, attempt });
      mActions.push_back(CancelAction{ attempt });
    }
  }
}

void
ForwardEngine::EraseRequest(Requests::iterator aRequest)
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
  if (std::holds_alternative<RefusedOutcome>(aOutcome)) {
    // The running attempts have not left this node, and must not any more.
    CancelAll(request, aNow);
  } else {
    AbandonAll(request, aNow);
  }
  for (const Part& part : request.mParts) {
    if (part.mState != PartState::Done) {
      request.mSummary.AddMissing(part.mService);
    }
  }
  RecordPoisonObservations(request, aNow);
  CancelDelegations(&request, CancelReason::Completed);
  request.mSummary.mElapsed = aNow - request.mRequest->mArrivalTime;
  AddAnswer(aNumber, std::move(aOutcome), std::move(request.mSummary));
  EraseRequest(found);
}

void
ForwardEngine::RecordPoisonObservations(const Request& aRequest, Instant aNow)
{
  // A delegation may consist of one shard, whose target may have crashed for
  // another reason. The delegating node sees the other shards.
  const std::size_t minimumLost = aRequest.mReportAt.has_value() ? 2 : 1;
  if (aRequest.mLostTargets.size() < minimumLost ||
      aRequest.mSummary.mPartsDone > 0) {
    return;
  }
  for (const PoisonObservation& lost : aRequest.mLostTargets) {
    mPoisonObservations.push_back(lost);
    AddPoisonObservation(lost, PoisonNotice::Source::OwnAttempt, aNow);
  }
}

} // namespace verbenachute
