#include <LibQuery/QueryCoordinator.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

QueryCoordinator::QueryCoordinator(QueryId aId,
                                   QueryRequest aRequest,
                                   QueryPlan aPlan,
                                   Instant aDeadline,
                                   SendingState aSending,
                                   QueryResources aResources)
  : mId(aId)
  , mRequest(std::move(aRequest))
  , mFingerprint(FingerprintOf(mRequest.mService, mRequest.mQuery))
  , mResources(aResources)
  , mCompleteAt(aDeadline - aResources.mTimings.mCompletionMargin)
  , mSendUntil(mCompleteAt - aResources.mTimings.mAnswerMargin)
  , mGuard(aSending)
  , mMerger(mRequest.mLimit)
{
  AdoptPlan(std::move(aPlan));
}

QueryActions
QueryCoordinator::Start(Instant aNow)
{
  VERIFY(!mIsStarted);
  mIsStarted = true;
  mStartedAt = aNow;
  if (aNow >= mSendUntil) {
    NoteError({ Step::Plan,
                ErrorCode::DeadlinePassed,
                "",
                "too little time is left to run the query" });
  }
  Arm(mCompleteAt);
  Pump(aNow);
  return Finish(aNow);
}

QueryActions
QueryCoordinator::OnSubAnswer(const SubAnswer& aAnswer, Instant aNow)
{
  VERIFY(mIsStarted);
  QueryCounters& counters = mResources.mCounters;
  Attempt* attempt =
    aAnswer.mQuery == mId ? mAttempts.Find(aAnswer.mAttempt) : nullptr;
  if (attempt == nullptr) {
    counters.mDroppedUnknownAttempt += 1;
    return {};
  }
  if (attempt->mState == AttemptState::Closed) {
    counters.mDroppedClosedAttempt += 1;
    return {};
  }
  const ShardResult* result = std::get_if<ShardResult>(&aAnswer.mOutcome);
  if (result == nullptr) {
    Fail(*attempt, std::get<SubFailure>(aAnswer.mOutcome), aNow);
    return Finish(aNow);
  }
  if (result->mVersion == mVersion && result->mShard == attempt->mShard) {
    Merge(*attempt, *result, aNow);
    return Finish(aNow);
  }
  (result->mVersion == mVersion ? counters.mDroppedWrongShard
                                : counters.mDroppedWrongVersion) += 1;
  // The right answer may still come. Only an idempotent request can do better
  // than to wait for it.
  if (mRequest.mIdempotency == Idempotency::Idempotent) {
    Fail(*attempt,
         { { Step::Merge,
             ErrorCode::Conflict,
             attempt->mTarget.value(),
             "the answer is from another version or shard" },
           Execution::OutcomeUnknown },
         aNow);
  }
  return Finish(aNow);
}

QueryActions
QueryCoordinator::OnTimer(Instant aNow)
{
  VERIFY(mIsStarted);
  if (mIsComplete) {
    return {};
  }
  mArmed.reset();
  if (aNow >= mCompleteAt) {
    if (mMerged == 0 && !mAttempts.OpenAttempts().empty()) {
      NoteError({ Step::Merge,
                  ErrorCode::DeadlinePassed,
                  "",
                  "no shard answered in time" });
    }
    Complete(Outcome(), aNow);
    return std::exchange(mActions, {});
  }
  for (ShardRun& shard : mShards) {
    const std::optional<Instant> hedgeAt = shard.HedgeInstant();
    if (hedgeAt.has_value() && *hedgeAt <= aNow) {
      Hedge(shard, aNow);
    }
  }
  Pump(aNow);
  if (mUnsettled > 0) {
    ArmNext();
  }
  return Finish(aNow);
}

QueryActions
QueryCoordinator::OnCallerDisconnected(Instant aNow)
{
  if (mIsComplete || mRequest.mIdempotency == Idempotency::NonIdempotent) {
    return {};
  }
  const Error error{
    Step::Merge, ErrorCode::Cancelled, "", "the caller hung up"
  };
  Complete(Refusal(error), aNow);
  return std::exchange(mActions, {});
}

QueryActions
QueryCoordinator::OnTargetLost(const TargetName& aTarget, Instant aNow)
{
  // A non-idempotent request can not be sent elsewhere, so its answer may as
  // well be waited for.
  if (mIsComplete || mRequest.mIdempotency == Idempotency::NonIdempotent) {
    return {};
  }
  const SubFailure failure{ { Step::Target,
                              ErrorCode::Unreachable,
                              aTarget.value(),
                              "the target was lost" },
                            Execution::OutcomeUnknown };
  for (const AttemptId id : mAttempts.OpenAttemptsAt(aTarget)) {
    Attempt* attempt = mAttempts.Find(id);
    // An earlier failure of this loop may have begun another round.
    if (attempt->mState == AttemptState::Open) {
      Fail(*attempt, failure, aNow);
    }
  }
  return Finish(aNow);
}

void
QueryCoordinator::AdoptPlan(QueryPlan aPlan)
{
  VERIFY(mMerged == 0);
  VERIFY(aPlan.mShardCount > 0 &&
         aPlan.mCandidates.size() == aPlan.mShardCount);
  mVersion = aPlan.mVersion;
  mShards.clear();
  mShards.reserve(aPlan.mShardCount);
  std::uint32_t number = 0;
  for (std::vector<ShardReplica>& candidates : aPlan.mCandidates) {
    mShards.emplace_back(
      ShardId(number), mRequest.mIdempotency, std::move(candidates));
    number += 1;
  }
  mUnsettled = mShards.size();
}

QueryActions
QueryCoordinator::Finish(Instant aNow)
{
  if (!mIsComplete && mUnsettled == 0) {
    Complete(Outcome(), aNow);
  }
  return std::exchange(mActions, {});
}

void
QueryCoordinator::Complete(QueryOutcome aOutcome, Instant aNow)
{
  VERIFY(!mIsComplete);
  mIsComplete = true;
  for (const AttemptId attempt : mAttempts.OpenAttempts()) {
    Cancel(attempt, aNow);
  }
  mActions.emplace_back(CompleteQuery{ mId, std::move(aOutcome) });
}

QueryOutcome
QueryCoordinator::Outcome() const
{
  if (mMerged == 0) {
    return Refusal(mError.value_or(
      Error{ Step::Plan, ErrorCode::Unavailable, "", "no shard answered" }));
  }
  QueryAnswer answer;
  answer.mRequest = mRequest.mRequest;
  answer.mService = mRequest.mService;
  answer.mSnapshot = mVersion;
  answer.mCoverage = CoverageNow();
  answer.mHits = mMerger.Best();
  answer.mExtraAttempts = mExtraAttempts;
  return answer;
}

Coverage
QueryCoordinator::CoverageNow() const
{
  Coverage coverage;
  coverage.mShardsAsked = static_cast<std::uint32_t>(mShards.size());
  for (const ShardRun& shard : mShards) {
    if (shard.Phase() == ShardPhase::Answered) {
      coverage.mShardsAnswered += 1;
    } else {
      coverage.mMissing.push_back(shard.Shard());
    }
  }
  VERIFY(coverage.mShardsAnswered == mMerged);
  VERIFY(coverage.mShardsAnswered + coverage.mMissing.size() ==
         coverage.mShardsAsked);
  return coverage;
}

QueryRefusal
QueryCoordinator::Refusal(Error aError) const
{
  return { mRequest.mRequest, std::move(aError), mAttempts.Summary() };
}

void
QueryCoordinator::NoteError(const Error& aError)
{
  // That a query is poison says more than what befell its other attempts.
  if (!mError.has_value() || mError->mCode != ErrorCode::Poisoned) {
    mError = aError;
  }
}

void
QueryCoordinator::Arm(Instant aAt)
{
  if (!mArmed.has_value() || aAt < *mArmed) {
    mArmed = aAt;
    mActions.emplace_back(WakeAt{ mId, aAt });
  }
}

void
QueryCoordinator::ArmNext()
{
  Instant next = mCompleteAt;
  for (const ShardRun& shard : mShards) {
    if (shard.HedgeInstant().has_value()) {
      next = std::min(next, *shard.HedgeInstant());
    }
    if (shard.Phase() == ShardPhase::Waiting && mGuard.MaySend()) {
      next = std::min(next, shard.RetryInstant());
    }
  }
  Arm(next);
}

} // namespace verbenachute
