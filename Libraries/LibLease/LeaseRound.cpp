#include <LibLease/LeaseRound.h>

#include <utility>

namespace verbenachute {

LeaseRound::LeaseRound(const Roster& aRoster,
                       Instant aSent,
                       std::set<Bucket> aAsked)
  : mRoster(aRoster)
  , mSent(aSent)
  , mAsked(std::move(aAsked))
{
}

void
LeaseRound::Count(const LeaseReply& aReply)
{
  const NodeName& voter = aReply.mVoter.mName;
  if (aReply.mEpoch != mRoster.mEpoch || !mRoster.Contains(voter)) {
    return;
  }
  for (const Bucket& bucket : aReply.mGranted) {
    if (mAsked.contains(bucket)) {
      mGrants[bucket].insert(voter);
    }
  }
  for (const BucketHolder& contender : aReply.mContenders) {
    if (mAsked.contains(contender.mBucket)) {
      mContenders[contender.mBucket][contender.mHolder.mName].insert(voter);
    }
  }
}

std::size_t
LeaseRound::Grants(const Bucket& aBucket) const
{
  const auto grants = mGrants.find(aBucket);
  return grants == mGrants.end() ? 0 : grants->second.size();
}

bool
LeaseRound::HasMajority(const Bucket& aBucket) const
{
  return Grants(aBucket) >= mRoster.Majority();
}

std::set<NodeName>
LeaseRound::Contenders(const Bucket& aBucket) const
{
  std::set<NodeName> nodes;
  const auto contenders = mContenders.find(aBucket);
  if (contenders == mContenders.end()) {
    return nodes;
  }
  for (const auto& [node, voters] : contenders->second) {
    if (voters.size() >= mRoster.Majority()) {
      nodes.insert(node);
    }
  }
  return nodes;
}

} // namespace verbenachute
