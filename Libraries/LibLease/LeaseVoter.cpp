#include <LibLease/LeaseVoter.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

LeaseVoter::LeaseVoter(NodeIdentity aSelf,
                       const LeaseSettings& aSettings,
                       Instant aNow)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mSettled(aNow + aSettings.VoterDuration())
  , mLastEvent(aNow)
{
}

void
LeaseVoter::OnStoreRoster(const Roster& aRoster)
{
  Adopt(aRoster);
}

void
LeaseVoter::OnPeerRoster(const NodeName& aPeer,
                         const Roster& aRoster,
                         Instant aNow)
{
  if (mRoster) {
    Adopt(aRoster);
    return;
  }
  if (aPeer == mSelf.mName || !aRoster.Contains(aPeer)) {
    return;
  }
  OnTimer(aNow);
  mToldRosters.insert_or_assign(aPeer, ToldRoster{ aRoster, aNow });
  AdoptToldRoster();
}

void
LeaseVoter::OnRevision(Revision aRevision)
{
  mRevision = std::max(mRevision, aRevision);
}

LeaseReply
LeaseVoter::OnRequest(const LeaseRequest& aRequest, Instant aNow)
{
  OnTimer(aNow);
  OnRevision(aRequest.mRevision);
  LeaseReply reply;
  reply.mVoter = mSelf;
  reply.mHolder = aRequest.mHolder;
  reply.mRound = aRequest.mRound;
  reply.mRevision = mRevision;
  reply.mEpoch = mRoster ? mRoster->mEpoch : RosterEpoch(0);
  if (!MayGrant(aRequest, aNow)) {
    return reply;
  }
  Remember(aRequest.mHolder, aRequest.mRound, aNow);
  for (const Bucket& bucket : aRequest.mBuckets) {
    GrantOrRefuse(aRequest, bucket, aNow, &reply);
  }
  return reply;
}

void
LeaseVoter::OnRelease(const LeaseRelease& aRelease, Instant aNow)
{
  OnTimer(aNow);
  for (const Bucket& bucket : aRelease.mBuckets) {
    const auto grant = mGrants.find(bucket);
    // A late release must not free a lease that was granted after it.
    if (grant != mGrants.end() && grant->second.mHolder == aRelease.mHolder &&
        grant->second.mRound <= aRelease.mRound) {
      mGrants.erase(grant);
    }
  }
  // A request that the release overtook must not take the bucket again.
  Remember(aRelease.mHolder, aRelease.mRound + 1, aNow);
}

void
LeaseVoter::OnTimer(Instant aNow)
{
  // A paused voter may have missed an accepted configuration. Its votes would
  // let a holder dispatch that knows as little.
  if (aNow > mLastEvent + mSettings.mPause) {
    mSettled = std::max(mSettled, aNow + mSettings.mSettling);
  }
  mLastEvent = aNow;
  std::erase_if(mGrants, [aNow](const auto& aGrant) {
    return aGrant.second.mExpiry <= aNow;
  });
  std::erase_if(mContenders, [aNow](const auto& aContender) {
    return aContender.second.mExpiry <= aNow;
  });
  const Duration memory = mSettings.VoterDuration();
  std::erase_if(mAskers, [aNow, memory](const auto& aAsker) {
    return aAsker.second.mLastSeen + memory <= aNow;
  });
  std::erase_if(mToldRosters, [aNow, memory](const auto& aTold) {
    return aTold.second.mTold + memory <= aNow;
  });
}

bool
LeaseVoter::MayGrant(const LeaseRequest& aRequest, Instant aNow) const
{
  const bool isVoter = mRoster && mRoster->Contains(mSelf.mName) &&
                       mRoster->mEpoch == aRequest.mEpoch;
  const bool isUsualLease =
    aRequest.mDuration.count() > 0 && aRequest.mDuration <= mSettings.mDuration;
  return isVoter && aNow >= mSettled && isUsualLease &&
         !IsStale(aRequest.mHolder, aRequest.mRound);
}

bool
LeaseVoter::IsStale(const NodeIdentity& aHolder, std::uint64_t aRound) const
{
  const auto asker = mAskers.find(aHolder);
  return asker != mAskers.end() && aRound < asker->second.mOldestRound;
}

void
LeaseVoter::GrantOrRefuse(const LeaseRequest& aRequest,
                          const Bucket& aBucket,
                          Instant aNow,
                          LeaseReply* aReply)
{
  const auto held = mGrants.find(aBucket);
  if (held != mGrants.end() && held->second.mHolder != aRequest.mHolder) {
    VERIFY(held->second.mExpiry > aNow);
    aReply->mRefused.push_back(BucketHolder{ aBucket, held->second.mHolder });
    mContenders[aBucket] =
      Contender{ aRequest.mHolder, aNow + mSettings.mDuration };
    return;
  }
  const Instant expiry = aNow + mSettings.VoterDuration();
  mGrants[aBucket] = Grant{ aRequest.mHolder, aRequest.mRound, expiry };
  aReply->mGranted.push_back(aBucket);
  AddContender(aBucket, aRequest.mHolder, aNow, aReply);
}

void
LeaseVoter::AddContender(const Bucket& aBucket,
                         const NodeIdentity& aHolder,
                         Instant aNow,
                         LeaseReply* aReply)
{
  const auto contender = mContenders.find(aBucket);
  if (contender == mContenders.end()) {
    return;
  }
  if (contender->second.mNode == aHolder) {
    mContenders.erase(contender);
    return;
  }
  VERIFY(contender->second.mExpiry > aNow);
  aReply->mContenders.push_back(
    BucketHolder{ aBucket, contender->second.mNode });
}

void
LeaseVoter::Remember(const NodeIdentity& aHolder,
                     std::uint64_t aOldestRound,
                     Instant aNow)
{
  Asker& asker = mAskers[aHolder];
  asker.mOldestRound = std::max(asker.mOldestRound, aOldestRound);
  asker.mLastSeen = aNow;
}

void
LeaseVoter::AdoptToldRoster()
{
  // A peer may know less than this voter knew before its restart. A majority
  // of one epoch intersects each majority that has confirmed the next one.
  const auto newest = std::max_element(
    mToldRosters.begin(),
    mToldRosters.end(),
    [](const auto& aOne, const auto& aOther) {
      return aOne.second.mRoster.mEpoch < aOther.second.mRoster.mEpoch;
    });
  const Roster candidate = newest->second.mRoster;
  const auto told = std::count_if(
    mToldRosters.begin(), mToldRosters.end(), [&candidate](const auto& aTold) {
      return aTold.second.mRoster.mEpoch == candidate.mEpoch;
    });
  if (static_cast<std::size_t>(told) >= candidate.Majority()) {
    Adopt(candidate);
  }
}

void
LeaseVoter::Adopt(const Roster& aRoster)
{
  if (!mRoster || aRoster.mEpoch > mRoster->mEpoch) {
    mRoster = aRoster;
    mToldRosters.clear();
  }
}

} // namespace verbenachute
