#include <LibQuery/ResultMerger.h>

#include <LibCore/Verify.h>

#include <cmath>
#include <iterator>
#include <limits>
#include <utility>

namespace verbenachute {

ResultMerger::ResultMerger(std::uint32_t aLimit)
  : mLimit(aLimit)
{
}

void
ResultMerger::Add(ShardId aShard, const std::vector<Hit>& aHits)
{
  for (const Hit& hit : aHits) {
    RankedHit ranked{ aShard, hit };
    // Not a number would break the order, and infinity has no form in JSON.
    if (!std::isfinite(ranked.mHit.mScore)) {
      ranked.mHit.mScore = std::numeric_limits<double>::lowest();
    }
    AddHit(std::move(ranked));
  }
}

std::vector<Hit>
ResultMerger::Best() const
{
  std::vector<Hit> hits;
  hits.reserve(mRanking.size());
  for (const RankedHit& ranked : mRanking) {
    hits.push_back(ranked.mHit);
  }
  return hits;
}

bool
ResultMerger::Better::operator()(const RankedHit& aLeft,
                                 const RankedHit& aRight) const
{
  if (aLeft.mHit.mScore != aRight.mHit.mScore) {
    return aLeft.mHit.mScore > aRight.mHit.mScore;
  }
  if (aLeft.mHit.mIdentifier != aRight.mHit.mIdentifier) {
    return aLeft.mHit.mIdentifier < aRight.mHit.mIdentifier;
  }
  if (aLeft.mShard != aRight.mShard) {
    return aLeft.mShard < aRight.mShard;
  }
  return aLeft.mHit.mText < aRight.mHit.mText;
}

void
ResultMerger::AddHit(RankedHit aHit)
{
  const bool isFull = mRanking.size() >= mLimit;
  if (isFull && (mLimit == 0 || !Better()(aHit, *mRanking.rbegin()))) {
    return;
  }
  const auto known = mByIdentifier.find(aHit.mHit.mIdentifier);
  if (known != mByIdentifier.end()) {
    if (!Better()(aHit, *known->second)) {
      return;
    }
    mRanking.erase(known->second);
    mByIdentifier.erase(known);
  }
  const auto [position, isNew] = mRanking.insert(std::move(aHit));
  VERIFY(isNew);
  mByIdentifier.emplace(position->mHit.mIdentifier, position);
  if (mRanking.size() > mLimit) {
    mByIdentifier.erase(mRanking.rbegin()->mHit.mIdentifier);
    mRanking.erase(std::prev(mRanking.end()));
  }
  VERIFY(mRanking.size() == mByIdentifier.size());
}

} // namespace verbenachute
