#include <LibGossip/GossipCodec.h>
#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace verbenachute {

namespace {

NodeNews
News(int aNumber, std::uint64_t aLife = 100)
{
  NodeNews news;
  news.mIdentity = { NodeName("n" + std::to_string(aNumber)),
                     Incarnation(aLife) };
  const std::uint16_t port = static_cast<std::uint16_t>(7000 + aNumber);
  news.mCallerAddress = { "10.0.0.1", port };
  news.mPeerAddress = { "10.0.0.1", static_cast<std::uint16_t>(port + 1000) };
  news.mService = NodeService::Serving;
  news.mDomain = FailureDomain("d" + std::to_string(aNumber % 4));
  return news;
}

/// Nodes that gossip over a network without loss.
class Fleet
{
public:
  explicit Fleet(int aNodes)
  {
    for (int i = 0; i < aNodes; ++i) {
      Start(i);
    }
  }

  void Start(int aNumber, std::uint64_t aLife = 100)
  {
    GossipTable::Settings settings;
    settings.mSeed = static_cast<std::uint64_t>(aNumber) + 1;
    const NodeNews news = News(aNumber, aLife);
    GossipTable table(settings, news);
    table.AddSeed(News(0).mPeerAddress);
    table.AddSeed(News(1).mPeerAddress);
    mTables.insert_or_assign(news.mPeerAddress, std::move(table));
  }

  /// The first nodes carry the callers.
  void Carry(int aCarriers)
  {
    for (int i = 0; i < static_cast<int>(mTables.size()); ++i) {
      At(i).SetReach(i < aCarriers ? NodeReach::All : NodeReach::Some);
    }
  }

  void Pass(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end;
         mNow += GossipTable::Settings().mPeriod) {
      std::vector<GossipTable::Datagram> sent;
      for (auto& table : mTables) {
        if (!mDown.contains(table.first)) {
          for (auto& datagram : table.second.Round(mNow)) {
            sent.push_back(std::move(datagram));
          }
        }
      }
      Deliver(sent);
    }
  }

  void Deliver(const std::vector<GossipTable::Datagram>& aSent)
  {
    for (const GossipTable::Datagram& datagram : aSent) {
      const std::string bytes = EncodeGossip(datagram.mMessage);
      const Result<GossipMessage> message = DecodeGossip(bytes);
      REQUIRE(!IsError(message));
      const FailureDomain from = datagram.mMessage.mNews.front().mDomain;
      for (const SocketAddress& to : datagram.mTo) {
        const auto receiver = mTables.find(to);
        if (receiver == mTables.end() || mDown.contains(to) ||
            Loses(datagram, to)) {
          continue;
        }
        mLargest = std::max(mLargest, bytes.size());
        mBytes += bytes.size();
        mAbroad += receiver->second.Self().mDomain == from ? 0 : bytes.size();
        receiver->second.Receive(ValueOf(message), mNow);
      }
    }
  }

  bool Loses(const GossipTable::Datagram& aDatagram, const SocketAddress& aTo)
  {
    const SocketAddress from = aDatagram.mMessage.mNews.front().mPeerAddress;
    return mCut.contains(from) != mCut.contains(aTo) ||
           mRandom() % 100 < mLossPercent;
  }

  GossipTable& At(int aNumber)
  {
    return mTables.at(News(aNumber).mPeerAddress);
  }

  std::map<SocketAddress, GossipTable> mTables;
  std::set<SocketAddress> mDown;
  /// These hear only each other.
  std::set<SocketAddress> mCut;
  unsigned mLossPercent = 0;
  std::mt19937 mRandom{ 5 };
  std::size_t mAbroad = 0;
  std::size_t mLargest = 0;
  std::size_t mBytes = 0;
  Instant mNow{ seconds(1000) };
};

} // namespace

TEST_CASE("All nodes find each other and a dead one is dropped in time")
{
  for (const int nodes : { 2, 8, 13 }) {
    CAPTURE(nodes);
    Fleet fleet(nodes);
    fleet.Pass(seconds(6));
    for (int i = 0; i < nodes; ++i) {
      CHECK(fleet.At(i).Offered(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes));
    }
    fleet.mDown.insert(News(nodes - 1).mPeerAddress);
    fleet.Pass(milliseconds(1500));
    for (int i = 0; i + 1 < nodes; ++i) {
      CHECK(fleet.At(i).Offered(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes - 1));
      CHECK(fleet.At(i).MayLive(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes));
    }
    fleet.Pass(seconds(10));
    CHECK(fleet.At(0).MayLive(fleet.mNow).size() ==
          static_cast<std::size_t>(nodes - 1));
  }
}

TEST_CASE("In a large fleet the nodes that carry callers are watched closely, "
          "the others cheaply")
{
  // The pattern of the grown deployments: bytes between failure domains are
  // priced, and a dead node may not be named for longer than 8 s.
  constexpr int kNodes = 83;
  constexpr int kCarriers = 8;
  Fleet fleet(kNodes);
  fleet.Pass(seconds(3));
  fleet.Carry(kCarriers);
  fleet.Pass(seconds(9));
  fleet.mBytes = 0;
  std::size_t least = kNodes;
  for (int i = 0; i < 40; ++i) {
    fleet.Pass(milliseconds(250));
    least = std::min(least, fleet.At(50).Offered(fleet.mNow).size());
    std::size_t carriers = 0;
    for (const NodeNews& node : fleet.At(50).Offered(fleet.mNow)) {
      carriers += node.mReach == NodeReach::All ? 1 : 0;
    }
    CHECK(carriers == kCarriers);
  }
  CHECK(least >= kNodes - 3);
  CHECK(fleet.mLargest < 1400);
  // Bytes a second of a node, over 10 s.
  CHECK(fleet.mBytes / 10 / kNodes < 8000);
  fleet.mDown.insert(News(2).mPeerAddress);
  fleet.mDown.insert(News(60).mPeerAddress);
  fleet.Pass(milliseconds(1500));
  for (const NodeNews& node : fleet.At(50).Offered(fleet.mNow)) {
    CHECK(node.mIdentity.mName != News(2).mIdentity.mName);
  }
  fleet.Pass(milliseconds(6500));
  for (const NodeNews& node : fleet.At(50).Offered(fleet.mNow)) {
    CHECK(node.mIdentity.mName != News(60).mIdentity.mName);
  }
}

TEST_CASE(
  "Heartbeats of a large fleet cross failure domains between a few nodes "
  "only")
{
  // The pattern of a quiet day of a grown deployment: 8 of 69 nodes carry the
  // callers, bytes between domains are priced, now and then a datagram is
  // lost. A node may spend 14 KB a second on control; crossing bytes are what
  // is paid for, and stay under 1 KB a second of each node.
  constexpr int kNodes = 69;
  constexpr int kCarriers = 8;
  Fleet fleet(kNodes);
  fleet.mLossPercent = 2;
  fleet.Pass(seconds(3));
  fleet.Carry(kCarriers);
  fleet.Pass(seconds(9));
  fleet.mAbroad = 0;
  fleet.mBytes = 0;
  std::size_t least = kNodes;
  for (int i = 0; i < 40; ++i) {
    fleet.Pass(milliseconds(250));
    for (const int node : { 3, 50, 61 }) {
      least = std::min(least, fleet.At(node).Offered(fleet.mNow).size());
      std::size_t carriers = 0;
      for (const NodeNews& news : fleet.At(node).Offered(fleet.mNow)) {
        carriers += news.mReach == NodeReach::All ? 1 : 0;
      }
      CHECK(carriers == kCarriers);
    }
  }
  CHECK(least >= kNodes - 4);
  CHECK(fleet.mAbroad / 10 / kNodes < 1000);
  CHECK(fleet.mBytes / 10 / kNodes < 14'000);
}

TEST_CASE("A start of all nodes floods nobody, and all find each other")
{
  constexpr int kNodes = 69;
  Fleet fleet(kNodes);
  fleet.Pass(seconds(3));
  CHECK(fleet.mBytes / 3 / kNodes < 60'000);
  for (int i = 0; i < kNodes; ++i) {
    CHECK(fleet.At(i).Living(fleet.mNow) == kNodes);
  }
}

TEST_CASE("A domain without a carrier is reached by those of other domains")
{
  constexpr int kNodes = 40;
  Fleet fleet(kNodes);
  fleet.Pass(seconds(3));
  for (int i = 0; i < kNodes; ++i) {
    // Carriers stand in the domains 0, 1 and 2 alone.
    fleet.At(i).SetReach(i < 8 && i % 4 != 3 ? NodeReach::All
                                             : NodeReach::Some);
  }
  fleet.Pass(seconds(12));
  for (int round = 0; round < 20; ++round) {
    fleet.Pass(milliseconds(250));
    std::size_t carriers = 0;
    for (const NodeNews& news : fleet.At(39).Offered(fleet.mNow)) {
      carriers += news.mReach == NodeReach::All ? 1 : 0;
    }
    CHECK(carriers == 6);
  }
  CHECK(fleet.At(39).Living(fleet.mNow) >= kNodes - 2);
}

TEST_CASE("A domain that was cut off is heard of again soon after its return")
{
  constexpr int kNodes = 40;
  Fleet fleet(kNodes);
  fleet.Pass(seconds(3));
  fleet.Carry(8);
  fleet.Pass(seconds(10));
  for (int i = 0; i < kNodes; ++i) {
    if (i % 4 == 2) {
      fleet.mCut.insert(News(i).mPeerAddress);
    }
  }
  fleet.Pass(seconds(30));
  CHECK(fleet.At(0).Living(fleet.mNow) == kNodes * 3 / 4);
  CHECK(fleet.At(2).Living(fleet.mNow) == kNodes / 4);
  fleet.mCut.clear();
  fleet.Pass(seconds(8));
  for (const int node : { 0, 2, 33, 38 }) {
    CHECK(fleet.At(node).Living(fleet.mNow) >= kNodes - 3);
  }
}

TEST_CASE("A node that leaves is not offered as soon as it says so")
{
  Fleet fleet(8);
  fleet.Pass(seconds(3));
  fleet.At(3).SetService(NodeService::Leaving);
  fleet.Deliver(fleet.At(3).Announce(GossipSpread::Everyone, fleet.mNow));
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.At(i).Offered(fleet.mNow).size() == 7);
  }
}

TEST_CASE("A node whose clock went back is taken for its later life")
{
  Fleet fleet(4);
  fleet.Pass(seconds(3));
  fleet.Start(2, 50);
  fleet.Pass(seconds(1));
  CHECK(fleet.At(0).Offered(fleet.mNow).size() == 4);
  CHECK(fleet.At(2).Self().mIdentity.mIncarnation > Incarnation(100));
}

TEST_CASE("Where all nodes hear each other, a heartbeat stays small")
{
  // The pattern of a calm day: bytes between failure domains are priced.
  Fleet fleet(9);
  fleet.Pass(seconds(5));
  fleet.mLargest = 0;
  fleet.Pass(seconds(5));
  CHECK(fleet.mLargest < 250);
}

TEST_CASE("Strikes reach all nodes once")
{
  Fleet fleet(8);
  fleet.Pass(seconds(2));
  const PoisonStrike strike{ Fingerprint(7), TargetName("t") };
  GossipMessage message;
  message.mStrikes = { strike };
  CHECK(fleet.At(1).Receive(message, fleet.mNow).size() == 1);
  CHECK(fleet.At(1).Receive(message, fleet.mNow).empty());
  fleet.Pass(seconds(1));
  CHECK(fleet.At(5).Receive(message, fleet.mNow).empty());
}

TEST_CASE("A peer that knows more of the store is found")
{
  Fleet fleet(4);
  fleet.At(2).SetKnowledge(
    StoreRevision(9), milliseconds(40), PlanVersion(1), Revision(3));
  fleet.Pass(seconds(2));
  GossipTable& first = fleet.At(0);
  REQUIRE(first.Informed(StoreRevision(8), fleet.mNow) != nullptr);
  CHECK(first.Informed(StoreRevision(8), fleet.mNow)->mIdentity.mName ==
        NodeName("n2"));
  CHECK(first.Informed(StoreRevision(9), fleet.mNow) == nullptr);
  // A peer of the own domain is asked before others.
  Fleet larger(9);
  for (const int informed : { 2, 4, 7 }) {
    larger.At(informed).SetKnowledge(
      StoreRevision(9), milliseconds(40), PlanVersion(1), Revision(3));
  }
  larger.Pass(seconds(2));
  for (int i = 0; i < 20; ++i) {
    CHECK(
      larger.At(0).Informed(StoreRevision(8), larger.mNow)->mIdentity.mName ==
      NodeName("n4"));
  }
  CHECK(first.Living(fleet.mNow) == 4);
  REQUIRE(first.Peers().size() == 3);
  CHECK(first.Peers()[1].mIntent == Revision(3));
  CHECK(first.IsLiving(NodeName("n2"), fleet.mNow));
  CHECK(!first.IsLiving(NodeName("n2"), fleet.mNow + seconds(30)));
  CHECK(!first.IsLiving(NodeName("n9"), fleet.mNow));
  // The age is as of the last heartbeat, and grows when they stop.
  REQUIRE(first.StoreAge(fleet.mNow).has_value());
  CHECK(*first.StoreAge(fleet.mNow) <= milliseconds(500));
  CHECK(*first.StoreAge(fleet.mNow + seconds(3)) >= seconds(3));
  CHECK(!fleet.At(2).StoreAge(fleet.mNow).has_value());
}

TEST_CASE("Bytes that are no gossip are refused")
{
  const std::string good = EncodeGossip({ { News(1) }, {} });
  for (std::size_t size = 0; size < good.size(); ++size) {
    CHECK(IsError(DecodeGossip(std::string_view(good).substr(0, size))));
  }
  CHECK(IsError(DecodeGossip("hello")));
  CHECK(!IsError(DecodeGossip(good)));
}

} // namespace verbenachute
