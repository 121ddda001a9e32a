#include <LibEntry/AdvertisementPolicy.h>
#include <LibEntry/CpuUsageEstimator.h>

#include <doctest/doctest.h>
#include <set>

namespace verbenachute {

namespace {

std::vector<NodeStatus>
Fleet(std::size_t aStrong, std::size_t aWeak)
{
  std::vector<NodeStatus> fleet;
  for (std::size_t i = 0; i < aStrong + aWeak; ++i) {
    NodeStatus node;
    node.mIdentity.mName = NodeName("n" + std::to_string(i));
    node.mDomain = FailureDomain("d" + std::to_string(i % 4));
    node.mCpuMillicores = i < aStrong ? 500 : 120;
    fleet.push_back(node);
  }
  return fleet;
}

} // namespace

TEST_CASE("A small fleet advertises all its nodes")
{
  CHECK(AdvertisementPolicy::Choose(Fleet(2, 10)).size() == 12);
  CHECK(AdvertisementPolicy::Choose({}).empty());
}

TEST_CASE("A large fleet with little load advertises only its strongest nodes")
{
  // Guards against spreading little load over all nodes of a large deployment:
  // 8 nodes of half a core and 75 of an eighth, with 17 to 56 queries per
  // second to 90 shards each.
  std::set<FailureDomain> domains;
  const std::vector<NodeStatus> advertised =
    AdvertisementPolicy::Choose(Fleet(8, 75));
  CHECK(advertised.size() == 8);
  for (const NodeStatus& node : advertised) {
    CHECK(node.mCpuMillicores == 500);
    domains.insert(node.mDomain);
  }
  CHECK(domains.size() == 4);
  CHECK(AdvertisementPolicy::Choose(Fleet(0, 75)).size() ==
        AdvertisementPolicy::kMinimumAdvertisedNodes);
}

TEST_CASE("More nodes are advertised when the load grows")
{
  std::vector<NodeStatus> fleet = Fleet(8, 75);
  for (std::size_t i = 0; i < 8; ++i) {
    fleet[i].mUsedMillicores = 300;
  }
  const std::vector<NodeStatus> advertised = AdvertisementPolicy::Choose(fleet);
  std::uint64_t capacity = 0;
  for (const NodeStatus& node : advertised) {
    capacity += node.mCpuMillicores;
  }
  CHECK(capacity * 30 >= 8 * 300 * 100);
  for (NodeStatus& node : fleet) {
    node.mUsedMillicores = 500;
  }
  CHECK(AdvertisementPolicy::Choose(fleet).size() == fleet.size());
}

TEST_CASE(
  "The CPU usage of a node is estimated from the attempts that it sends")
{
  CpuUsageEstimator estimator;
  Instant now{ seconds(100) };
  CHECK(estimator.Millicores(now) == 0);
  std::uint32_t usage = 0;
  for (int i = 0; i < 40; ++i) {
    for (int sent = 0; sent < 250; ++sent) {
      estimator.OnSent();
    }
    now += milliseconds(250);
    usage = estimator.Millicores(now);
  }
  // 1,000 attempts per second of 75 us each.
  CHECK(usage >= 74);
  CHECK(usage <= 75);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(250);
    usage = estimator.Millicores(now);
  }
  CHECK(usage == 0);
}

TEST_CASE("Nodes count for some time after they were last advertised")
{
  const Instant now{ seconds(100) };
  RecentlyAdvertisedNodes recent;
  recent.OnAdvertised(Fleet(2, 0), now);
  CHECK(recent.Current(now + seconds(10)).size() == 2);
  CHECK(recent.Current(now + seconds(12)).empty());
}

TEST_CASE(
  "Nodes that the store lists count until their heartbeats would have come")
{
  // Guards against exceeding the connection limit of targets after all nodes
  // were killed while the store was not reachable (soak, seed 304): each node
  // took itself for the only one and used the full limit alone, and targets had
  // 26 connections of 24.
  const Instant now{ seconds(100) };
  RecentlyAdvertisedNodes recent;
  recent.OnRegistered({ NodeName("n0"), NodeName("n1"), NodeName("n2") }, now);
  recent.OnAdvertised(Fleet(1, 0), now);
  CHECK(recent.Current(now + seconds(10)).size() == 3);
  CHECK(recent.Current(now + seconds(12)).empty());
  std::vector<NodeName> many;
  for (int i = 0; i < 83; ++i) {
    many.emplace_back("m" + std::to_string(i));
  }
  recent.OnRegistered(many, now);
  CHECK(recent.Current(now).size() ==
        3 + AdvertisementPolicy::kSmallFleetNodes);
}

} // namespace verbenachute
