#pragma once

#include <bitset>
#include <cstddef>
#include <vector>

namespace verbenachute {

/// Failure domains are given by their index in the table of targets
/// (TargetRecords::DomainIndex).
inline constexpr std::size_t kMaximumDomains = 64;
using DomainSet = std::bitset<kMaximumDomains>;

/// Shards to gather in one failure domain.
struct DomainShards
{
  std::size_t mDomain = 0;
  /// Indexes of the shards, ascending.
  std::vector<std::size_t> mShardIndexes;

  friend bool operator==(const DomainShards&, const DomainShards&) = default;
};

/// Covers the shards with few failure domains (greedy set cover): the domain
/// that holds most of the uncovered shards comes next. aHolders lists for each
/// shard the domains that hold it; an empty set is a shard that needs no cover.
/// A domain with fewer than aMinShards of the shards, which is at least 1, is
/// not worth a message; such shards are left out.
[[nodiscard]] std::vector<DomainShards>
CoverShards(std::vector<DomainSet> aHolders, std::size_t aMinShards);

} // namespace verbenachute
