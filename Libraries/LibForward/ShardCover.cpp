#include <LibForward/ShardCover.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>

namespace verbenachute {

std::vector<DomainShards>
CoverShards(std::vector<DomainSet> aHolders, std::size_t aMinShards)
{
  VERIFY(aMinShards > 0);
  std::vector<DomainShards> cover;
  while (true) {
    std::array<std::size_t, kMaximumDomains> heldCounts{};
    for (const DomainSet& holders : aHolders) {
      for (std::size_t domain = 0; domain < kMaximumDomains; ++domain) {
        heldCounts[domain] += holders.test(domain) ? 1 : 0;
      }
    }
    const auto most = std::max_element(heldCounts.begin(), heldCounts.end());
    if (*most < aMinShards) {
      return cover;
    }
    DomainShards next;
    next.mDomain = static_cast<std::size_t>(most - heldCounts.begin());
    for (std::size_t shard = 0; shard < aHolders.size(); ++shard) {
      if (aHolders[shard].test(next.mDomain)) {
        next.mShardIndexes.push_back(shard);
        aHolders[shard].reset();
      }
    }
    cover.push_back(std::move(next));
  }
}

} // namespace verbenachute
