#include <LibQuery/ShardMapBuilder.h>

namespace verbenachute {

void
ShardMapBuilder::Add(const TargetState& aState)
{
  for (const HeldVersion& held : aState.mVersions) {
    if (held.mShardCount == 0 || held.mShardCount > kMaximumShardCount) {
      continue;
    }
    Claim& claim = mVersions[held.mVersion][held.mShardCount];
    claim.mTargets += 1;
    claim.mReplicas.resize(held.mShardCount);
    for (const ShardId shard : held.mShards) {
      if (shard.value() >= held.mShardCount) {
        continue;
      }
      std::vector<ShardReplica>& replicas = claim.mReplicas[shard.value()];
      // A target that lists a shard twice is still one replica of it.
      if (replicas.empty() || replicas.back().mTarget != aState.mTarget) {
        replicas.push_back({ aState.mTarget, aState.mCondition });
      }
    }
  }
}

std::vector<ShardMap>
ShardMapBuilder::Build() const
{
  std::vector<ShardMap> maps;
  for (const auto& [version, claims] : mVersions) {
    const Claim* claim = Believed(claims);
    if (claim != nullptr) {
      maps.push_back({ version, claim->mReplicas });
    }
  }
  return maps;
}

const ShardMapBuilder::Claim*
ShardMapBuilder::Believed(const ClaimsByCount& aClaims)
{
  const Claim* best = nullptr;
  const Claim* rival = nullptr;
  for (const auto& [count, claim] : aClaims) {
    if (best == nullptr || claim.mTargets > best->mTargets) {
      best = &claim;
      rival = nullptr;
    } else if (claim.mTargets == best->mTargets) {
      rival = &claim;
    }
  }
  return rival == nullptr ? best : nullptr;
}

} // namespace verbenachute
