#include <LibForward/ShardCover.h>

#include <doctest/doctest.h>
#include <random>
#include <set>

namespace verbenachute {

namespace {

DomainSet
DomainsOf(std::initializer_list<std::size_t> aDomains)
{
  DomainSet set;
  for (const std::size_t domain : aDomains) {
    set.set(domain);
  }
  return set;
}

} // namespace

TEST_CASE("One domain covers all shards that the own domain lacks")
{
  // Two copies of each shard, assigned to four domains in rotation: the node's
  // own domain 0 holds the shards of (0, 1) and (3, 0), which need no cover.
  const std::vector<DomainSet> holders = {
    DomainSet(), DomainsOf({ 1, 2 }), DomainsOf({ 2, 3 }), DomainSet(),
    DomainSet(), DomainsOf({ 1, 2 }), DomainsOf({ 2, 3 }), DomainSet(),
  };
  const std::vector<DomainShards> cover = CoverShards(holders, 2);
  CHECK(cover == std::vector<DomainShards>{ { 2, { 1, 2, 5, 6 } } });
}

TEST_CASE("Shards of domains with too few of them are left out")
{
  const std::vector<DomainSet> holders = { DomainsOf({ 1 }),
                                           DomainsOf({ 1 }),
                                           DomainsOf({ 2 }) };
  CHECK(CoverShards(holders, 2) ==
        std::vector<DomainShards>{ { 1, { 0, 1 } } });
  CHECK(CoverShards(holders, 1).size() == 2);
  CHECK(CoverShards(holders, 3).empty());
  CHECK(CoverShards({}, 1).empty());
}

TEST_CASE("Each shard is covered once, by a domain that holds it")
{
  std::mt19937 random(11);
  for (int run = 0; run < 200; ++run) {
    std::vector<DomainSet> holders(random() % 40);
    for (DomainSet& set : holders) {
      for (unsigned i = 0; i < random() % 4; ++i) {
        set.set(random() % 14);
      }
    }
    std::set<std::size_t> covered;
    std::size_t previousSize = holders.size();
    for (const DomainShards& shards : CoverShards(holders, 1)) {
      CHECK(shards.mShardIndexes.size() <= previousSize);
      previousSize = shards.mShardIndexes.size();
      for (const std::size_t shard : shards.mShardIndexes) {
        CHECK(holders[shard].test(shards.mDomain));
        CHECK(covered.insert(shard).second);
      }
    }
    for (std::size_t shard = 0; shard < holders.size(); ++shard) {
      CHECK(covered.contains(shard) == holders[shard].any());
    }
  }
}

} // namespace verbenachute
