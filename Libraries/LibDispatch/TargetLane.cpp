#include <LibDispatch/TargetLane.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

TargetLane::TargetLane(const TargetEntry& aEntry,
                       const DispatchSettings& aSettings)
  : mEntry(aEntry)
  , mSettings(aSettings)
  , mQueue(aSettings.mQueueLimit)
{
  mPublished.mTarget = aEntry.mName;
}

Bucket
TargetLane::OwnBucket() const
{
  return BucketOf(mEntry.mDomain, mEntry.mName);
}

void
TargetLane::OnEntry(const TargetEntry& aEntry, Instant aNow)
{
  const bool isMoved = aEntry.mAddress != mEntry.mAddress;
  mEntry = aEntry;
  if (isMoved) {
    Forget(aNow);
  }
}

void
TargetLane::OnAdmittance(Admittance aAdmittance, Instant aNow)
{
  const bool wasOut = mAdmittance == Admittance::NoNewWork ||
                      mAdmittance == Admittance::LeftAlone;
  mAdmittance = aAdmittance;
  if (wasOut && aAdmittance == Admittance::Admitted) {
    Forget(aNow);
  }
}

void
TargetLane::Forget(Instant aNow)
{
  mRamp.Reset(aNow);
  mJudge.Forget();
  mNextProbe = aNow;
}

std::uint32_t
TargetLane::FullLimit() const
{
  // One connection is kept for probes and cancellations where there is more
  // than one.
  const std::uint32_t share = ConnectionShare();
  const std::uint32_t forWork = share > 1 ? share - 1 : share;
  return std::min(std::max<std::uint32_t>(mEntry.mSlots, 1), forWork);
}

std::uint32_t
TargetLane::Limit() const
{
  return mRamp.Limit(FullLimit());
}

std::uint32_t
TargetLane::ConnectionShare() const
{
  return std::max<std::uint32_t>(
    mEntry.mConnections / mSettings.mHoldersPerTarget, 1);
}

bool
TargetLane::HasConnection(ExchangeKind aKind) const
{
  const std::uint32_t share = ConnectionShare();
  const std::uint32_t kept =
    aKind == ExchangeKind::Work && share > 1 && mControlConnections == 0 ? 1
                                                                         : 0;
  return mWorkConnections + mControlConnections + kept < share;
}

bool
TargetLane::HasRoom(Trial aTrial) const
{
  if (!mOnTrial.empty() || (aTrial == Trial::Yes && !mRunning.empty())) {
    return false;
  }
  return mRunning.size() < Limit() && HasConnection(ExchangeKind::Work);
}

Duration
TargetLane::ExpectedWait(std::uint32_t aWeight, Duration aUsualService) const
{
  const std::size_t ahead = mQueue.Ahead(aWeight) + mRunning.size();
  const std::uint32_t limit = Limit();
  return ahead < limit ? Duration(0)
                       : aUsualService * static_cast<int>(ahead + 1 - limit) /
                           static_cast<int>(limit);
}

void
TargetLane::Start(Work* aWork)
{
  VERIFY(HasRoom(aWork->mTrial));
  VERIFY(mRunning.size() < std::max<std::uint32_t>(mEntry.mSlots, 1));
  mRunning.insert(aWork->mId);
  ++mWorkConnections;
  VERIFY(mWorkConnections + mControlConnections <= ConnectionShare());
  if (aWork->mTrial == Trial::Yes) {
    mOnTrial.insert(aWork->mId);
  }
  aWork->mSlot = Slot::Occupied;
  aWork->mConnection = Connection::Open;
}

void
TargetLane::FreeSlot(Work* aWork)
{
  if (aWork->mSlot == Slot::Occupied) {
    VERIFY(mRunning.erase(aWork->mId) == 1);
    mOnTrial.erase(aWork->mId);
    aWork->mSlot = Slot::Free;
  }
}

void
TargetLane::FreeConnection(Work* aWork)
{
  if (aWork->mConnection == Connection::Open) {
    VERIFY(mWorkConnections > 0);
    --mWorkConnections;
    aWork->mConnection = Connection::Closed;
  }
}

void
TargetLane::StartControl()
{
  VERIFY(HasConnection(ExchangeKind::Control));
  ++mControlConnections;
}

void
TargetLane::EndControl()
{
  VERIFY(mControlConnections > 0);
  --mControlConnections;
}

bool
TargetLane::IsIdle() const
{
  return mRunning.empty() && mQueue.empty() && mWorkConnections == 0 &&
         mControlConnections == 0;
}

void
TargetLane::OnVersions(const std::vector<HeldVersion>& aVersions)
{
  mVersions = aVersions;
}

void
TargetLane::OnHeardState(const TargetState& aState)
{
  // A state of an earlier holder that comes late must lose against this one.
  if (aState.mSequence > mPublished.mSequence) {
    mPublished = aState;
  }
  if (!mJudge.IsKnown()) {
    mVersions = aState.mVersions;
  }
}

std::optional<TargetState>
TargetLane::StateToPublish()
{
  if (!mJudge.IsKnown()) {
    return std::nullopt;
  }
  TargetState state;
  state.mTarget = mEntry.mName;
  state.mCondition = mJudge.ConditionOf(mRamp.WarmthAt(FullLimit()));
  state.mVersions = mVersions;
  state.mSequence = mPublished.mSequence;
  if (state == mPublished) {
    return std::nullopt;
  }
  ++state.mSequence;
  mPublished = state;
  return state;
}

void
TargetLane::StartProbe()
{
  VERIFY(!mIsProbing);
  mIsProbing = true;
  StartControl();
}

bool
TargetLane::EndProbe()
{
  if (!mIsProbing) {
    return false;
  }
  mIsProbing = false;
  EndControl();
  return true;
}

} // namespace verbenachute
