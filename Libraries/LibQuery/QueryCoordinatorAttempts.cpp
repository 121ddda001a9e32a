#include <LibQuery/QueryCoordinator.h>

#include <LibCore/Verify.h>

#include <utility>

// How a query coordinator makes, ends and replaces attempts. What it answers
// to its events and to its caller is in QueryCoordinator.cpp.

namespace verbenachute {

void
QueryCoordinator::Pump(Instant aNow)
{
  for (ShardRun& shard : mShards) {
    const bool isDue =
      shard.Phase() == ShardPhase::Pending ||
      (shard.Phase() == ShardPhase::Waiting && shard.RetryInstant() <= aNow);
    if (isDue) {
      SendIfAllowed(shard, aNow);
    }
  }
}

void
QueryCoordinator::SendIfAllowed(ShardRun& aShard, Instant aNow)
{
  if (aNow >= mSendUntil || mGuard.State() == SendingState::Ended) {
    GiveUp(aShard);
  } else if (mGuard.MaySend()) {
    SendNext(aShard, aNow);
  }
}

void
QueryCoordinator::SendNext(ShardRun& aShard, Instant aNow)
{
  const ShardReplica* candidate = aShard.NextCandidate(mGuard.Crashed());
  if (candidate == nullptr) {
    GiveUp(aShard);
    return;
  }
  if (aShard.Phase() == ShardPhase::Pending) {
    // A second round was paid as a whole when it was planned.
    Send(aShard,
         candidate->mTarget,
         mRound == Round::First ? AttemptKind::First : AttemptKind::Retry,
         aNow);
    return;
  }
  if (Pay(1, Urgency::Urgent) == Payment::Refused) {
    GiveUp(aShard);
    return;
  }
  Send(aShard, candidate->mTarget, AttemptKind::Retry, aNow);
}

void
QueryCoordinator::Send(ShardRun& aShard,
                       const TargetName& aTarget,
                       AttemptKind aKind,
                       Instant aNow)
{
  VERIFY(!mIsComplete && aNow < mSendUntil);
  Attempt attempt;
  attempt.mId = mResources.mAttemptIds.Next();
  attempt.mKind = aKind;
  attempt.mShard = aShard.Shard();
  attempt.mTarget = aTarget;
  attempt.mSentAt = aNow;
  attempt.mWatch = mGuard.OnSent();

  std::optional<Duration> hedgeDelay;
  if (mRequest.mIdempotency == Idempotency::Idempotent) {
    hedgeDelay = mResources.mHedgePolicy.Delay(mResources.mLatency);
  }
  aShard.RecordSent(aNow, hedgeDelay);
  if (aShard.HedgeInstant().has_value()) {
    Arm(*aShard.HedgeInstant());
  }

  mResources.mSelector.OnSent(aTarget);
  QueryCounters& counters = mResources.mCounters;
  switch (aKind) {
    case AttemptKind::First:
      counters.mFirstAttempts += 1;
      mResources.mBudget.OnFirstAttempt(mResources.mBudgetClass);
      break;
    case AttemptKind::Hedge:
      VERIFY(mRequest.mIdempotency == Idempotency::Idempotent);
      counters.mHedges += 1;
      mExtraAttempts += 1;
      break;
    case AttemptKind::Retry:
      counters.mRetries += 1;
      mExtraAttempts += 1;
      break;
  }
  VERIFY(mExtraAttempts <= mPaidAttempts);
  mActions.emplace_back(SendSubQuery{ MakeSubQuery(attempt, aNow) });
  mAttempts.Add(std::move(attempt));
}

SubQuery
QueryCoordinator::MakeSubQuery(const Attempt& aAttempt, Instant aNow) const
{
  SubQuery subQuery;
  subQuery.mQuery = mId;
  subQuery.mAttempt = aAttempt.mId;
  subQuery.mKind = aAttempt.mKind;
  subQuery.mTarget = aAttempt.mTarget;
  subQuery.mService = mRequest.mService;
  subQuery.mCaller = mRequest.mCaller;
  subQuery.mClass = mRequest.mClass;
  subQuery.mRequest = mRequest.mRequest;
  subQuery.mFingerprint = mFingerprint;
  subQuery.mIdempotency = mRequest.mIdempotency;
  subQuery.mShard = aAttempt.mShard;
  subQuery.mVersion = mVersion;
  subQuery.mTimeLeft = mSendUntil - aNow;
  subQuery.mText = mRequest.mQuery;
  subQuery.mLimit = mRequest.mLimit;
  return subQuery;
}

void
QueryCoordinator::Hedge(ShardRun& aShard, Instant aNow)
{
  const ShardReplica* candidate = aShard.HedgeCandidate(mGuard.Crashed());
  if (candidate == nullptr || mGuard.State() != SendingState::Free ||
      aNow >= mSendUntil) {
    aShard.DropHedge();
    return;
  }
  // The longer a shard has waited already, the more its hedge will gain.
  const Urgency urgency =
    aShard.HedgeDeferrals() == 0 ? Urgency::Deferrable : Urgency::Urgent;
  if (Pay(1, urgency) == Payment::Refused) {
    const std::optional<Duration> delay =
      mResources.mHedgePolicy.Delay(mResources.mLatency);
    if (delay.has_value()) {
      aShard.DeferHedge(aNow + *delay);
    } else {
      aShard.DropHedge();
    }
    return;
  }
  Send(aShard, candidate->mTarget, AttemptKind::Hedge, aNow);
}

Payment
QueryCoordinator::Pay(std::size_t aAttempts, Urgency aUrgency)
{
  const Payment payment =
    mResources.mBudget.Spend(mResources.mBudgetClass, aAttempts, aUrgency);
  if (payment == Payment::Refused) {
    mResources.mCounters.mUnpaid += aAttempts;
  } else {
    mPaidAttempts += static_cast<std::uint32_t>(aAttempts);
  }
  return payment;
}

void
QueryCoordinator::Merge(Attempt& aAttempt,
                        const ShardResult& aResult,
                        Instant aNow)
{
  VERIFY(aResult.mVersion == mVersion && aResult.mShard == aAttempt.mShard);
  ShardRun& shard = mShards[aAttempt.mShard.value()];
  const bool hasLosers = shard.OpenCount() > 1;
  shard.RecordMerged();
  mMerger.Add(aResult.mShard, aResult.mHits);
  mMerged += 1;
  mUnsettled -= 1;

  AttemptTable::Close(aAttempt, Execution::Ran);
  mGuard.OnAnswered(aAttempt.mWatch);
  const Duration elapsed = aNow - aAttempt.mSentAt;
  mResources.mSelector.OnEnded(
    aAttempt.mTarget, ReplicaObservation::Answered, elapsed, aNow);
  mResources.mLatency.Observe(elapsed, aNow);
  if (hasLosers) {
    for (const AttemptId loser : mAttempts.OpenAttemptsOf(shard.Shard())) {
      Cancel(loser, aNow);
    }
  }
  if (aAttempt.mWatch == Watch::Watched) {
    Pump(aNow);
  }
}

void
QueryCoordinator::Cancel(AttemptId aAttempt, Instant aNow)
{
  Attempt* attempt = mAttempts.Find(aAttempt);
  VERIFY(attempt != nullptr);
  AttemptTable::Close(*attempt, Execution::OutcomeUnknown);
  mGuard.OnEnded(attempt->mWatch);
  const Duration elapsed = aNow - attempt->mSentAt;
  mResources.mSelector.OnEnded(
    attempt->mTarget, ReplicaObservation::Cancelled, elapsed, aNow);
  mResources.mLatency.ObserveAtLeast(elapsed, aNow);
  mResources.mCounters.mCancels += 1;
  mActions.emplace_back(CancelSubQuery{ mId, aAttempt, attempt->mTarget });
}

void
QueryCoordinator::GiveUp(ShardRun& aShard)
{
  aShard.RecordMissing();
  VERIFY(mUnsettled > 0);
  mUnsettled -= 1;
}

} // namespace verbenachute
