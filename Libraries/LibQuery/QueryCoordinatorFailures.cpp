#include <LibQuery/QueryCoordinator.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// What a query coordinator does when an attempt has failed.

namespace verbenachute {

namespace {

ReplicaObservation
ObservationOf(FailureKind aKind)
{
  switch (aKind) {
    case FailureKind::Overloaded:
    case FailureKind::OutOfTime:
      return ReplicaObservation::Overloaded;
    case FailureKind::Misrouted:
    case FailureKind::TargetClosed:
    case FailureKind::Failed:
    case FailureKind::CrashLike:
      return ReplicaObservation::Failed;
    case FailureKind::VersionGone:
    case FailureKind::Poisoned:
    case FailureKind::Rejected:
      return ReplicaObservation::Neutral;
  }
  VERIFY(!"unknown failure");
}

} // namespace

void
QueryCoordinator::Fail(Attempt& aAttempt,
                       const SubFailure& aFailure,
                       Instant aNow)
{
  const FailureKind kind = FailureKindOf(aFailure);
  const Watch watch = aAttempt.mWatch;
  ShardRun& shard = mShards[aAttempt.mShard.value()];
  AttemptTable::Close(aAttempt, aFailure.mExecution);
  shard.RecordFailure(aFailure.mExecution, kind);
  NoteError(aFailure.mError);
  const SendingState before = mGuard.State();
  TellGuard(aAttempt, kind);
  mResources.mSelector.OnEnded(
    aAttempt.mTarget, ObservationOf(kind), aNow - aAttempt.mSentAt, aNow);
  if (kind == FailureKind::Overloaded) {
    mResources.mBudget.OnOverloaded(mResources.mBudgetClass);
  }
  AfterFailure(shard, aAttempt, kind, aNow);
  // Other shards wait for nothing but the guard.
  if (watch == Watch::Watched || mGuard.State() != before) {
    mResources.mCounters.mPoisonSuspected +=
      mGuard.State() == SendingState::Ended && before != mGuard.State() ? 1 : 0;
    Pump(aNow);
  }
}

void
QueryCoordinator::TellGuard(const Attempt& aAttempt, FailureKind aKind)
{
  if (aKind == FailureKind::CrashLike) {
    mGuard.OnCrashed(aAttempt.mTarget, aAttempt.mWatch);
  } else {
    mGuard.OnEnded(aAttempt.mWatch);
  }
  if (aKind == FailureKind::Poisoned) {
    mGuard.OnPoisoned();
  }
}

void
QueryCoordinator::AfterFailure(ShardRun& aShard,
                               const Attempt& aAttempt,
                               FailureKind aKind,
                               Instant aNow)
{
  if (aShard.OpenCount() > 0) {
    // The other attempt of the shard may still answer.
    return;
  }
  if (!MayRetry(aShard, aKind)) {
    GiveUp(aShard);
    return;
  }
  if (aKind == FailureKind::Misrouted) {
    aShard.Requeue(aAttempt.mTarget);
  }
  if (aShard.NextCandidate(mGuard.Crashed()) == nullptr) {
    if (aShard.IsVersionGone() && Replan(aNow)) {
      Pump(aNow);
    } else {
      GiveUp(aShard);
    }
    return;
  }
  const std::uint32_t repeat = aShard.RepeatNumber();
  const Duration wait =
    repeat == 0 ? Duration(0)
                : mResources.mTimings.mRetryBackoff * (1U << (repeat - 1));
  if (aNow + wait >= mSendUntil) {
    GiveUp(aShard);
    return;
  }
  aShard.WaitUntil(aNow + wait);
  if (repeat > 0) {
    Arm(aShard.RetryInstant());
  } else {
    SendIfAllowed(aShard, aNow);
  }
}

bool
QueryCoordinator::MayRetry(const ShardRun& aShard, FailureKind aKind) const
{
  return aShard.MaySendAgain() && aKind != FailureKind::Rejected &&
         mGuard.State() != SendingState::Ended;
}

bool
QueryCoordinator::Replan(Instant aNow)
{
  const bool isAllowed = mRound == Round::First && mMerged == 0 &&
                         mRequest.mIdempotency == Idempotency::Idempotent &&
                         mGuard.State() == SendingState::Free &&
                         aNow - mStartedAt < (mSendUntil - mStartedAt) / 2;
  if (!isAllowed) {
    return false;
  }
  Result<QueryPlan> result = mResources.mPlanner.Plan(
    mRequest.mService, mRequest.mCaller, { mVersion }, aNow);
  if (IsError(result)) {
    return false;
  }
  QueryPlan plan = ReleaseValue(std::move(result));
  const std::size_t sends = static_cast<std::size_t>(std::count_if(
    plan.mCandidates.begin(),
    plan.mCandidates.end(),
    [](const auto& aCandidates) { return !aCandidates.empty(); }));
  if (Pay(sends, Urgency::Urgent) == Payment::Refused) {
    return false;
  }
  for (const AttemptId attempt : mAttempts.OpenAttempts()) {
    Cancel(attempt, aNow);
  }
  mRound = Round::Second;
  mResources.mCounters.mReplans += 1;
  AdoptPlan(std::move(plan));
  return true;
}

} // namespace verbenachute
