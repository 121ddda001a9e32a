#pragma once

#include <LibCore/Identifiers.h>
#include <LibQuery/ShardMap.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// The one index version that a query is pinned to, and for each of its
/// shards the targets to try.
struct QueryPlan
{
  IndexVersion mVersion;
  std::uint32_t mShardCount = 0;
  /// Usable replicas of each shard in the order in which to try them; the
  /// position is the number of the shard. Empty where no replica is usable.
  std::vector<std::vector<ShardReplica>> mCandidates;
};

} // namespace verbenachute
