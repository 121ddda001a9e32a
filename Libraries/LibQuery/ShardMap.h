#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/TargetState.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// Largest shard count of an index version that is believed. A larger one is
/// taken for a malformed report.
inline constexpr std::uint32_t kMaximumShardCount = 65536;

/// A target that says it can search a shard, and how its holder judges it.
struct ShardReplica
{
  TargetName mTarget;
  TargetCondition mCondition = TargetCondition::Down;

  friend bool operator==(const ShardReplica&, const ShardReplica&) = default;
};

/// Which targets hold which shard of one index version.
struct ShardMap
{
  IndexVersion mVersion;
  /// Replicas of each shard; the position is the number of the shard, the
  /// length is the shard count of the version.
  std::vector<std::vector<ShardReplica>> mReplicas;
};

} // namespace verbenachute
