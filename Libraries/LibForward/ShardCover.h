#pragma once

#include <bitset>
#include <cstddef>
#include <vector>

namespace verbenachute {

/// Failure domains by their places in the table of targets.
inline constexpr std::size_t kMostDomains = 64;
using DomainSet = std::bitset<kMostDomains>;

/// Shards that are gathered in one failure domain.
struct DomainShards
{
  std::size_t mDomain = 0;
  /// Places of the shards, rising.
  std::vector<std::size_t> mPlaces;

  friend bool operator==(const DomainShards&, const DomainShards&) = default;
};

/// Covers shards by few failure domains: the one that holds most of what is
/// left comes next. aHolders has for each shard the domains that hold it; an
/// empty set is a shard that needs no cover. A domain with fewer than aLeast
/// of the shards is not worth a message; its shards are left out.
[[nodiscard]] std::vector<DomainShards>
CoverShards(std::vector<DomainSet> aHolders, std::size_t aLeast);

} // namespace verbenachute
