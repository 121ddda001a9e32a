#include <LibLease/HolderRanking.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

namespace {

struct Candidate
{
  NodeName mName;
  bool mIsForeign = false;
  std::uint64_t mWeight = 0;
};

bool
IsPreferred(const Candidate& aOne, const Candidate& aOther)
{
  if (aOne.mIsForeign != aOther.mIsForeign) {
    return aOther.mIsForeign;
  }
  if (aOne.mWeight != aOther.mWeight) {
    return aOne.mWeight > aOther.mWeight;
  }
  return aOne.mName < aOther.mName;
}

} // namespace

std::vector<NodeName>
RankHolders(const Bucket& aBucket, const std::vector<LeaseMember>& aMembers)
{
  const std::string key = BucketText(aBucket);
  std::vector<Candidate> candidates;
  candidates.reserve(aMembers.size());
  for (const LeaseMember& member : aMembers) {
    candidates.push_back(
      Candidate{ member.mName,
                 member.mDomain != aBucket.mDomain,
                 RendezvousWeight(key, member.mName.value()) });
  }
  std::sort(candidates.begin(), candidates.end(), IsPreferred);
  std::vector<NodeName> names;
  names.reserve(candidates.size());
  for (const Candidate& candidate : candidates) {
    names.push_back(candidate.mName);
  }
  return names;
}

} // namespace verbenachute
