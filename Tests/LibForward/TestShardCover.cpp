#include <LibForward/ShardCover.h>

#include <doctest/doctest.h>
#include <random>
#include <set>

namespace verbenachute {

namespace {

DomainSet
Set(std::initializer_list<std::size_t> aDomains)
{
  DomainSet set;
  for (const std::size_t domain : aDomains) {
    set.set(domain);
  }
  return set;
}

} // namespace

TEST_CASE("The domain opposite covers all that the own one lacks")
{
  // Two copies of each shard, spread over four domains in turn: the node's own
  // domain 0 holds the shards of 0, 1 and of 3, 0 and needs no cover there.
  const std::vector<DomainSet> holders = {
    DomainSet(), Set({ 1, 2 }), Set({ 2, 3 }), DomainSet(),
    DomainSet(), Set({ 1, 2 }), Set({ 2, 3 }), DomainSet(),
  };
  const std::vector<DomainShards> cover = CoverShards(holders, 2);
  CHECK(cover == std::vector<DomainShards>{ { 2, { 1, 2, 5, 6 } } });
}

TEST_CASE("Shards that a message is not worth are left out")
{
  const std::vector<DomainSet> holders = { Set({ 1 }), Set({ 1 }), Set({ 2 }) };
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
    std::size_t last = holders.size();
    for (const DomainShards& shards : CoverShards(holders, 1)) {
      CHECK(shards.mPlaces.size() <= last);
      last = shards.mPlaces.size();
      for (const std::size_t place : shards.mPlaces) {
        CHECK(holders[place].test(shards.mDomain));
        CHECK(covered.insert(place).second);
      }
    }
    for (std::size_t place = 0; place < holders.size(); ++place) {
      CHECK(covered.contains(place) == holders[place].any());
    }
  }
}

} // namespace verbenachute
