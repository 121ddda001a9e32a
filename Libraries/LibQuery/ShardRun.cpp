#include <LibQuery/ShardRun.h>

#include <LibCore/Verify.h>

#include <utility>

namespace verbenachute {

namespace {

/// The first attempt or its retry, and one hedge.
constexpr std::uint32_t kMaximumOpen = 2;
/// Times that one shard repeats targets whose holder was not reached.
constexpr std::size_t kMaximumRepeats = 3;

} // namespace

ShardRun::ShardRun(ShardId aShard,
                   Idempotency aIdempotency,
                   std::vector<ShardReplica> aCandidates)
  : mShard(aShard)
  , mIdempotency(aIdempotency)
  , mCandidates(std::move(aCandidates))
  , mFresh(mCandidates.size())
{
}

bool
ShardRun::MaySendAgain() const
{
  if (IsSettled()) {
    return false;
  }
  if (mIdempotency == Idempotency::NonIdempotent) {
    return mOpen == 0 && !mMayHaveRun;
  }
  return mOpen < kMaximumOpen;
}

const ShardReplica*
ShardRun::NextCandidate(const std::set<TargetName>& aAvoided)
{
  while (mNext < mCandidates.size() &&
         aAvoided.contains(mCandidates[mNext].mTarget)) {
    mNext += 1;
  }
  return mNext < mCandidates.size() ? &mCandidates[mNext] : nullptr;
}

const ShardReplica*
ShardRun::HedgeCandidate(const std::set<TargetName>& aAvoided)
{
  const ShardReplica* candidate = NextCandidate(aAvoided);
  if (candidate == nullptr || mNext >= mFresh ||
      candidate->mCondition != TargetCondition::Ready) {
    return nullptr;
  }
  return candidate;
}

void
ShardRun::Requeue(const TargetName& aTarget)
{
  if (mCandidates.size() < mFresh + kMaximumRepeats) {
    mCandidates.push_back({ aTarget, TargetCondition::Ready });
  }
}

std::uint32_t
ShardRun::RepeatNumber() const
{
  return mNext < mFresh ? 0 : static_cast<std::uint32_t>(mNext - mFresh + 1);
}

void
ShardRun::DeferHedge(Instant aInstant)
{
  VERIFY(mPhase == ShardPhase::Running);
  mHedgeAt = aInstant;
  mDeferrals += 1;
}

void
ShardRun::RecordSent(Instant aNow, std::optional<Duration> aHedgeDelay)
{
  // At most once: whatever the caller of this method believes, a second send
  // of a non-idempotent request while the first may run ends the process.
  VERIFY(MaySendAgain());
  VERIFY(mNext < mCandidates.size());
  mNext += 1;
  mSent += 1;
  mOpen += 1;
  mPhase = ShardPhase::Running;
  mHedgeAt.reset();
  mDeferrals = 0;
  if (aHedgeDelay.has_value() && mOpen < kMaximumOpen) {
    mHedgeAt = aNow + *aHedgeDelay;
  }
}

void
ShardRun::RecordFailure(Execution aExecution, FailureKind aKind)
{
  VERIFY(mPhase == ShardPhase::Running && mOpen > 0);
  mOpen -= 1;
  if (aExecution != Execution::NotRun) {
    mMayHaveRun = true;
  }
  if (aKind == FailureKind::VersionGone) {
    mVersionGone += 1;
  }
}

void
ShardRun::RecordMerged()
{
  VERIFY(mPhase == ShardPhase::Running && mOpen > 0);
  mPhase = ShardPhase::Answered;
  mHedgeAt.reset();
}

void
ShardRun::RecordMissing()
{
  VERIFY(!IsSettled());
  mPhase = ShardPhase::Missing;
  mHedgeAt.reset();
}

void
ShardRun::WaitUntil(Instant aInstant)
{
  VERIFY(mPhase == ShardPhase::Running && mOpen == 0);
  mPhase = ShardPhase::Waiting;
  mRetryAt = aInstant;
  mHedgeAt.reset();
}

bool
ShardRun::IsVersionGone() const
{
  return mSent > 0 && mOpen == 0 && mVersionGone == mSent;
}

} // namespace verbenachute
