#include <LibGossip/GossipCodec.h>
#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
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
      const auto receiver = mTables.find(datagram.mTo);
      if (receiver != mTables.end() && !mDown.contains(datagram.mTo)) {
        const std::string bytes = EncodeGossip(datagram.mMessage);
        mLargest = std::max(mLargest, bytes.size());
        mBytes += bytes.size();
        const Result<GossipMessage> message = DecodeGossip(bytes);
        REQUIRE(!IsError(message));
        receiver->second.Receive(ValueOf(message), mNow);
      }
    }
  }

  GossipTable& At(int aNumber)
  {
    return mTables.at(News(aNumber).mPeerAddress);
  }

  std::map<SocketAddress, GossipTable> mTables;
  std::set<SocketAddress> mDown;
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

TEST_CASE("A node that leaves is not offered as soon as it says so")
{
  Fleet fleet(8);
  fleet.Pass(seconds(3));
  fleet.At(3).SetService(NodeService::Leaving);
  fleet.Deliver(fleet.At(3).Announce(fleet.mNow));
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
