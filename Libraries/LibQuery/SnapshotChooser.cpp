#include <LibQuery/SnapshotChooser.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <cstdint>
#include <utility>

namespace verbenachute {

namespace {

// Compares the usable shares of two versions without rounding.
bool
HasLargerCoverage(std::uint64_t aUsable,
                  std::uint64_t aCount,
                  std::uint64_t aOtherUsable,
                  std::uint64_t aOtherCount)
{
  return aUsable * aOtherCount > aOtherUsable * aCount;
}

} // namespace

SnapshotChooser::SnapshotChooser(const ConfigurationView& aView,
                                 CallerId aCaller)
  : mView(aView)
  , mCaller(std::move(aCaller))
{
}

Result<QueryPlan>
SnapshotChooser::Choose(const std::vector<ShardMap>& aMaps,
                        const std::vector<IndexVersion>& aExcluded)
{
  Candidate best;
  for (const ShardMap& map : aMaps) {
    if (std::find(aExcluded.begin(), aExcluded.end(), map.mVersion) !=
        aExcluded.end()) {
      continue;
    }
    Candidate candidate = Weigh(map);
    if (candidate.mUsableShards == candidate.mPlan.mShardCount) {
      return std::move(candidate.mPlan);
    }
    if (candidate.mUsableShards > 0 &&
        (best.mUsableShards == 0 ||
         HasLargerCoverage(candidate.mUsableShards,
                           candidate.mPlan.mShardCount,
                           best.mUsableShards,
                           best.mPlan.mShardCount))) {
      best = std::move(candidate);
    }
  }
  if (best.mUsableShards > 0) {
    return std::move(best.mPlan);
  }
  if (mAdmitted == 0 && mNotForCaller > 0) {
    return Error{ Step::Plan,
                  ErrorCode::Forbidden,
                  "",
                  "no target of the service serves this caller" };
  }
  return Error{ Step::Plan,
                ErrorCode::Unavailable,
                "",
                "no version of the index has a usable replica" };
}

SnapshotChooser::Candidate
SnapshotChooser::Weigh(const ShardMap& aMap)
{
  VERIFY(!aMap.mReplicas.empty());
  Candidate candidate;
  candidate.mPlan.mVersion = aMap.mVersion;
  candidate.mPlan.mShardCount =
    static_cast<std::uint32_t>(aMap.mReplicas.size());
  candidate.mPlan.mCandidates.resize(aMap.mReplicas.size());
  for (std::size_t shard = 0; shard < aMap.mReplicas.size(); ++shard) {
    std::vector<ShardReplica>& usable = candidate.mPlan.mCandidates[shard];
    for (const ShardReplica& replica : aMap.mReplicas[shard]) {
      if (IsUsable(replica)) {
        usable.push_back(replica);
      }
    }
    candidate.mUsableShards += usable.empty() ? 0 : 1;
  }
  return candidate;
}

bool
SnapshotChooser::IsUsable(const ShardReplica& aReplica)
{
  const Admittance admittance =
    mView.MayTakeNewWork(aReplica.mTarget, mCaller).mAdmittance;
  if (admittance != Admittance::Admitted) {
    mNotForCaller += admittance == Admittance::NotForCaller ? 1 : 0;
    return false;
  }
  mAdmitted += 1;
  return aReplica.mCondition == TargetCondition::Ready ||
         aReplica.mCondition == TargetCondition::Warming;
}

} // namespace verbenachute
