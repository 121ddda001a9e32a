#pragma once

#include <LibCore/TargetState.h>
#include <LibQuery/ShardMap.h>

#include <cstddef>
#include <functional>
#include <map>
#include <vector>

namespace verbenachute {

/// Builds the shard maps of one service from what its targets report. Targets
/// that disagree on the shard count of a version never share a map.
class ShardMapBuilder
{
public:
  /// Adds what one target reports. Versions whose shard count is zero or above
  /// kMaximumShardCount, and shards outside the count, are passed over.
  void Add(const TargetState& aState);

  /// One map for each version, newest first. Of several shard counts the one
  /// that most targets report is believed; an even split leaves the version
  /// out, since a wrong count would make an incomplete answer look whole.
  [[nodiscard]] std::vector<ShardMap> Build() const;

private:
  struct Claim
  {
    std::size_t mTargets = 0;
    std::vector<std::vector<ShardReplica>> mReplicas;
  };

  using ClaimsByCount = std::map<std::uint32_t, Claim>;

  [[nodiscard]] static const Claim* Believed(const ClaimsByCount& aClaims);

  std::map<IndexVersion, ClaimsByCount, std::greater<>> mVersions;
};

} // namespace verbenachute
