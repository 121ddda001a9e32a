#include <LibEntry/LoadMeter.h>
#include <LibEntry/OfferPolicy.h>

#include <doctest/doctest.h>
#include <set>

namespace verbenachute {

namespace {

std::vector<NodeNews>
Fleet(std::size_t aStrong, std::size_t aWeak)
{
  std::vector<NodeNews> fleet;
  for (std::size_t i = 0; i < aStrong + aWeak; ++i) {
    NodeNews node;
    node.mIdentity.mName = NodeName("n" + std::to_string(i));
    node.mDomain = FailureDomain("d" + std::to_string(i % 4));
    node.mPower = i < aStrong ? 500 : 120;
    fleet.push_back(node);
  }
  return fleet;
}

} // namespace

TEST_CASE("A small fleet advertises all its nodes")
{
  CHECK(OfferPolicy::Choose(Fleet(2, 10)).size() == 12);
  CHECK(OfferPolicy::Choose({}).empty());
}

TEST_CASE("A large fleet with little load advertises only its strongest nodes")
{
  // Guards against spreading little load over all nodes of a large deployment:
  // 8 nodes of half a core and 75 of an eighth, with 17 to 56 queries per
  // second to 90 shards each.
  std::set<FailureDomain> domains;
  const std::vector<NodeNews> advertised = OfferPolicy::Choose(Fleet(8, 75));
  CHECK(advertised.size() == 8);
  for (const NodeNews& node : advertised) {
    CHECK(node.mPower == 500);
    domains.insert(node.mDomain);
  }
  CHECK(domains.size() == 4);
  CHECK(OfferPolicy::Choose(Fleet(0, 75)).size() == OfferPolicy::kCarriers);
}

TEST_CASE("More nodes are advertised when the load grows")
{
  std::vector<NodeNews> fleet = Fleet(8, 75);
  for (std::size_t i = 0; i < 8; ++i) {
    fleet[i].mUsed = 300;
  }
  const std::vector<NodeNews> advertised = OfferPolicy::Choose(fleet);
  std::uint64_t power = 0;
  for (const NodeNews& node : advertised) {
    power += node.mPower;
  }
  CHECK(power * 30 >= 8 * 300 * 100);
  for (NodeNews& node : fleet) {
    node.mUsed = 500;
  }
  CHECK(OfferPolicy::Choose(fleet).size() == fleet.size());
}

TEST_CASE(
  "The CPU usage of a node is estimated from the attempts that it sends")
{
  LoadMeter meter;
  Instant now{ seconds(100) };
  CHECK(meter.Used(now) == 0);
  std::uint32_t usage = 0;
  for (int i = 0; i < 40; ++i) {
    for (int sent = 0; sent < 250; ++sent) {
      meter.OnSent();
    }
    now += milliseconds(250);
    usage = meter.Used(now);
  }
  // 1,000 attempts per second of 75 us each.
  CHECK(usage >= 74);
  CHECK(usage <= 75);
  for (int i = 0; i < 40; ++i) {
    now += milliseconds(250);
    usage = meter.Used(now);
  }
  CHECK(usage == 0);
}

TEST_CASE("Nodes that were advertised recently count as senders")
{
  const Instant now{ seconds(100) };
  SenderWatch watch;
  watch.OnNamed(Fleet(2, 0), now);
  CHECK(watch.Senders(now + seconds(10)).size() == 2);
  CHECK(watch.Senders(now + seconds(12)).empty());
}

TEST_CASE(
  "Nodes that the store lists count until their heartbeats would have come")
{
  // Guards against exceeding the connection limit of targets after all nodes
  // were killed while the store was not reachable (soak, seed 304): each node
  // took itself for the only one and used the full limit alone, and targets had
  // 26 connections of 24.
  const Instant now{ seconds(100) };
  SenderWatch watch;
  watch.OnRegistered({ NodeName("n0"), NodeName("n1"), NodeName("n2") }, now);
  watch.OnNamed(Fleet(1, 0), now);
  CHECK(watch.Senders(now + seconds(10)).size() == 3);
  CHECK(watch.Senders(now + seconds(12)).empty());
  std::vector<NodeName> many;
  for (int i = 0; i < 83; ++i) {
    many.emplace_back("m" + std::to_string(i));
  }
  watch.OnRegistered(many, now);
  CHECK(watch.Senders(now).size() == 3 + OfferPolicy::kSmallFleetNodes);
}

} // namespace verbenachute
