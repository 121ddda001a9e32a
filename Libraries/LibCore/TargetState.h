#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// The shards that a target can search in one index version. Each version has
/// its own shard map, because shards are repartitioned over time.
struct HeldVersion
{
  IndexVersion mVersion;
  /// Number of shards of the index in this version.
  std::uint32_t mShardCount = 0;
  std::vector<ShardId> mShards;

  friend bool operator==(const HeldVersion&, const HeldVersion&) = default;
};

/// Health of a target, as its holder infers it from the target's responses.
enum class TargetCondition
{
  Ready,
  /// In cold start; gets only the reduced load that the ramp admits.
  Warming,
  /// Has announced its shutdown, or refuses new work.
  Draining,
  /// Fails or does not respond.
  Down,
};

/// State of a target, as its holder publishes it to all nodes.
struct TargetState
{
  TargetName mTarget;
  TargetCondition mCondition = TargetCondition::Down;
  std::vector<HeldVersion> mVersions;
  /// Increases with each change that the holder publishes.
  std::uint64_t mSequence = 0;

  friend bool operator==(const TargetState&, const TargetState&) = default;
};

} // namespace verbenachute
