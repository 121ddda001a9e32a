#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// The shards that a target can search in one index version. Each version
/// has a shard map of its own, since shards are repartitioned over time.
struct HeldVersion
{
  IndexVersion mVersion;
  /// Number of shards in the whole index at this version.
  std::uint32_t mShardCount = 0;
  std::vector<ShardId> mShards;

  friend bool operator==(const HeldVersion&, const HeldVersion&) = default;
};

/// How its holder judges a target, from what the target answers.
enum class TargetCondition
{
  Ready,
  /// In cold start; takes the little work that the ramp lets through.
  Warming,
  /// Announced that it leaves, or refuses new work.
  Draining,
  /// Fails or does not answer.
  Down,
};

/// What the holder of a target tells all nodes about it.
struct TargetState
{
  TargetName mTarget;
  TargetCondition mCondition = TargetCondition::Down;
  std::vector<HeldVersion> mVersions;
  /// Grows with each change that the holder reports.
  std::uint64_t mSequence = 0;

  friend bool operator==(const TargetState&, const TargetState&) = default;
};

} // namespace verbenachute
