#include <LibQuery/ReplicaSelector.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenachute {

namespace {

/// Added to each latency, so that fast targets still compare by their load.
constexpr double kBaseLatencyMicroseconds = 1000;
/// Weight of a new observation in the moving average of the latency.
constexpr double kLatencyWeight = 0.2;
constexpr double kFailurePenalty = 8;
constexpr double kOverloadPenalty = 2;
constexpr double kMaximumPenalty = 64;
constexpr Duration kPenaltyHalfLife = seconds(2);
/// The latency of a target that is not used is forgotten, else one bad answer
/// would keep it unused for good.
constexpr Duration kLatencyHalfLife = seconds(5);

double
Decayed(double aValue, Duration aAge, Duration aHalfLife)
{
  const double halfLives =
    static_cast<double>(aAge.count()) / static_cast<double>(aHalfLife.count());
  return aValue * std::exp2(-halfLives);
}

} // namespace

void
ReplicaSelector::Order(std::vector<ShardReplica>& aReplicas,
                       Instant aNow,
                       pcg32& aRandom)
{
  struct Ranked
  {
    ShardReplica mReplica;
    double mCost = 0;
  };
  std::vector<Ranked> ranked;
  ranked.reserve(aReplicas.size());
  for (ShardReplica& replica : aReplicas) {
    const double cost = Cost(replica.mTarget, aNow);
    ranked.push_back({ std::move(replica), cost });
  }
  // The library's shuffle may differ between implementations; seeds must not.
  for (std::size_t left = ranked.size(); left > 1; --left) {
    const std::uint32_t drawn = aRandom(static_cast<std::uint32_t>(left));
    std::swap(ranked[left - 1], ranked[drawn]);
  }
  const auto warming = std::stable_partition(
    ranked.begin(), ranked.end(), [](const Ranked& aRanked) {
      return aRanked.mReplica.mCondition != TargetCondition::Warming;
    });
  const auto cheaper = [](const Ranked& aLeft, const Ranked& aRight) {
    return aLeft.mCost < aRight.mCost;
  };
  if (warming - ranked.begin() > 2) {
    std::stable_sort(ranked.begin(), ranked.begin() + 2, cheaper);
    std::stable_sort(ranked.begin() + 1, warming, cheaper);
  } else {
    std::stable_sort(ranked.begin(), warming, cheaper);
  }
  std::stable_sort(warming, ranked.end(), cheaper);
  std::transform(ranked.begin(),
                 ranked.end(),
                 aReplicas.begin(),
                 [](Ranked& aRanked) { return std::move(aRanked.mReplica); });
}

void
ReplicaSelector::Reserve(const TargetName& aTarget)
{
  mRecords[aTarget].mReserved += 1;
  mReserved.push_back(aTarget);
}

void
ReplicaSelector::ReleaseReserved()
{
  for (const TargetName& target : mReserved) {
    mRecords[target].mReserved = 0;
  }
  mReserved.clear();
}

void
ReplicaSelector::OnSent(const TargetName& aTarget)
{
  mRecords[aTarget].mInHand += 1;
}

void
ReplicaSelector::OnEnded(const TargetName& aTarget,
                         ReplicaObservation aObservation,
                         Duration aElapsed,
                         Instant aNow)
{
  Record& record = mRecords[aTarget];
  VERIFY(record.mInHand > 0);
  record.mInHand -= 1;
  record.mUsedAt = aNow;
  const double elapsed = static_cast<double>(aElapsed.count());
  switch (aObservation) {
    case ReplicaObservation::Answered:
      record.mLatency += kLatencyWeight * (elapsed - record.mLatency);
      return;
    case ReplicaObservation::Cancelled:
      // The attempt would have taken longer, so it can only raise the average.
      if (elapsed > record.mLatency) {
        record.mLatency += kLatencyWeight * (elapsed - record.mLatency);
      }
      return;
    case ReplicaObservation::Overloaded:
      Penalise(record, kOverloadPenalty, aNow);
      return;
    case ReplicaObservation::Failed:
      Penalise(record, kFailurePenalty, aNow);
      return;
    case ReplicaObservation::Neutral:
      return;
  }
}

void
ReplicaSelector::ForgetIdle(Instant aBefore)
{
  std::erase_if(mRecords, [aBefore](const auto& aItem) {
    return aItem.second.mInHand == 0 && aItem.second.mUsedAt < aBefore;
  });
}

double
ReplicaSelector::Cost(const TargetName& aTarget, Instant aNow) const
{
  const auto found = mRecords.find(aTarget);
  if (found == mRecords.end()) {
    return kBaseLatencyMicroseconds;
  }
  const Record& record = found->second;
  const double latency =
    Decayed(record.mLatency, aNow - record.mUsedAt, kLatencyHalfLife);
  const double penalty =
    Decayed(record.mPenalty, aNow - record.mPenaltyAt, kPenaltyHalfLife);
  return (kBaseLatencyMicroseconds + latency) *
         (1 + record.mInHand + record.mReserved) * (1 + penalty);
}

void
ReplicaSelector::Penalise(Record& aRecord, double aAmount, Instant aNow)
{
  const double left =
    Decayed(aRecord.mPenalty, aNow - aRecord.mPenaltyAt, kPenaltyHalfLife);
  aRecord.mPenalty = std::min(left + aAmount, kMaximumPenalty);
  aRecord.mPenaltyAt = aNow;
}

} // namespace verbenachute
