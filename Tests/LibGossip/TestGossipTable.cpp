#include "SimulatedNode.h"

#include <LibGossip/GossipCodec.h>
#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>
#include <set>

namespace verbenachute {

namespace {

NodeStatus
StatusOf(int aNumber, std::uint64_t aIncarnation = 100)
{
  return SimulatedNodeStatus(
    static_cast<std::size_t>(aNumber), aIncarnation, 4);
}

/// Nodes that gossip over a simulated network, without loss by default.
class Fleet
{
public:
  explicit Fleet(int aNodes)
  {
    for (int i = 0; i < aNodes; ++i) {
      Start(i);
    }
  }

  void Start(int aNumber, std::uint64_t aIncarnation = 100)
  {
    GossipTable::Settings settings;
    settings.mSeed = static_cast<std::uint64_t>(aNumber) + 1;
    const NodeStatus status = StatusOf(aNumber, aIncarnation);
    GossipTable table(settings, status);
    table.AddSeed(StatusOf(0).mPeerAddress);
    table.AddSeed(StatusOf(1).mPeerAddress);
    mTables.insert_or_assign(status.mPeerAddress, std::move(table));
  }

  /// Makes the first nodes direct and the others relayed.
  void SetDirectNodes(int aCount)
  {
    for (int i = 0; i < static_cast<int>(mTables.size()); ++i) {
      At(i).SetGossipRole(i < aCount ? GossipRole::Direct
                                     : GossipRole::Relayed);
    }
  }

  void Advance(Duration aTime)
  {
    for (const Instant end = mNow + aTime; mNow < end;
         mNow += GossipTable::Settings().mPeriod) {
      std::vector<GossipTable::Datagram> sent;
      for (auto& table : mTables) {
        if (!mStopped.contains(table.first)) {
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
      const FailureDomain from = datagram.mMessage.mStatuses.front().mDomain;
      for (const SocketAddress& to : datagram.mReceivers) {
        const auto receiver = mTables.find(to);
        if (receiver == mTables.end() || mStopped.contains(to) ||
            IsLost(datagram, to)) {
          continue;
        }
        mLargestBytes = std::max(mLargestBytes, bytes.size());
        mTotalBytes += bytes.size();
        mCrossDomainBytes +=
          receiver->second.Self().mDomain == from ? 0 : bytes.size();
        receiver->second.Receive(ValueOf(message), mNow);
      }
    }
  }

  bool IsLost(const GossipTable::Datagram& aDatagram, const SocketAddress& aTo)
  {
    const SocketAddress from =
      aDatagram.mMessage.mStatuses.front().mPeerAddress;
    return mPartitioned.contains(from) != mPartitioned.contains(aTo) ||
           mRandom() % 100 < mLossPercent;
  }

  GossipTable& At(int aNumber)
  {
    return mTables.at(StatusOf(aNumber).mPeerAddress);
  }

  std::map<SocketAddress, GossipTable> mTables;
  std::set<SocketAddress> mStopped;
  /// Nodes of a partition; they reach only each other.
  std::set<SocketAddress> mPartitioned;
  unsigned mLossPercent = 0;
  std::mt19937 mRandom{ 5 };
  std::size_t mCrossDomainBytes = 0;
  std::size_t mLargestBytes = 0;
  std::size_t mTotalBytes = 0;
  Instant mNow{ seconds(1000) };
};

} // namespace

TEST_CASE("All nodes discover each other and a failed one is removed in time")
{
  for (const int nodes : { 2, 8, 13 }) {
    CAPTURE(nodes);
    Fleet fleet(nodes);
    fleet.Advance(seconds(6));
    for (int i = 0; i < nodes; ++i) {
      CHECK(fleet.At(i).ServingNodes(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes));
    }
    fleet.mStopped.insert(StatusOf(nodes - 1).mPeerAddress);
    fleet.Advance(milliseconds(1500));
    for (int i = 0; i + 1 < nodes; ++i) {
      CHECK(fleet.At(i).ServingNodes(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes - 1));
      CHECK(fleet.At(i).PossiblyAlive(fleet.mNow).size() ==
            static_cast<std::size_t>(nodes));
    }
    fleet.Advance(seconds(10));
    CHECK(fleet.At(0).PossiblyAlive(fleet.mNow).size() ==
          static_cast<std::size_t>(nodes - 1));
  }
}

TEST_CASE("In a large fleet failed direct nodes are detected early, others at "
          "low cost")
{
  // Traffic between failure domains is billed, and a failed node may be
  // advertised for at most 8 s.
  constexpr int kNodes = 83;
  constexpr int kDirectNodes = 8;
  Fleet fleet(kNodes);
  fleet.Advance(seconds(3));
  fleet.SetDirectNodes(kDirectNodes);
  fleet.Advance(seconds(9));
  fleet.mTotalBytes = 0;
  std::size_t fewestServing = kNodes;
  for (int i = 0; i < 40; ++i) {
    fleet.Advance(milliseconds(250));
    fewestServing =
      std::min(fewestServing, fleet.At(50).ServingNodes(fleet.mNow).size());
    std::size_t directNodes = 0;
    for (const NodeStatus& node : fleet.At(50).ServingNodes(fleet.mNow)) {
      directNodes += node.mGossipRole == GossipRole::Direct ? 1 : 0;
    }
    CHECK(directNodes == kDirectNodes);
  }
  CHECK(fewestServing >= kNodes - 3);
  CHECK(fleet.mLargestBytes < 1400);
  // Bytes per second and node, over 10 s.
  CHECK(fleet.mTotalBytes / 10 / kNodes < 8000);
  fleet.mStopped.insert(StatusOf(2).mPeerAddress);
  fleet.mStopped.insert(StatusOf(60).mPeerAddress);
  fleet.Advance(milliseconds(1500));
  for (const NodeStatus& node : fleet.At(50).ServingNodes(fleet.mNow)) {
    CHECK(node.mIdentity.mName != StatusOf(2).mIdentity.mName);
  }
  fleet.Advance(milliseconds(6500));
  for (const NodeStatus& node : fleet.At(50).ServingNodes(fleet.mNow)) {
    CHECK(node.mIdentity.mName != StatusOf(60).mIdentity.mName);
  }
}

TEST_CASE("In a large fleet only a few nodes send heartbeats across failure "
          "domains")
{
  // 8 of 69 nodes are direct and 2 % of the datagrams are lost. A node may send
  // 14 KB per second of control traffic; traffic between domains is billed and
  // stays below 1 KB per second and node.
  constexpr int kNodes = 69;
  constexpr int kDirectNodes = 8;
  Fleet fleet(kNodes);
  fleet.mLossPercent = 2;
  fleet.Advance(seconds(3));
  fleet.SetDirectNodes(kDirectNodes);
  fleet.Advance(seconds(9));
  fleet.mCrossDomainBytes = 0;
  fleet.mTotalBytes = 0;
  std::size_t fewestServing = kNodes;
  for (int i = 0; i < 40; ++i) {
    fleet.Advance(milliseconds(250));
    for (const int node : { 3, 50, 61 }) {
      fewestServing =
        std::min(fewestServing, fleet.At(node).ServingNodes(fleet.mNow).size());
      std::size_t directNodes = 0;
      for (const NodeStatus& status : fleet.At(node).ServingNodes(fleet.mNow)) {
        directNodes += status.mGossipRole == GossipRole::Direct ? 1 : 0;
      }
      CHECK(directNodes == kDirectNodes);
    }
  }
  CHECK(fewestServing >= kNodes - 4);
  CHECK(fleet.mCrossDomainBytes / 10 / kNodes < 1000);
  CHECK(fleet.mTotalBytes / 10 / kNodes < 14'000);
}

TEST_CASE("A simultaneous start of all nodes causes no flood, and all nodes "
          "discover each other")
{
  constexpr int kNodes = 69;
  Fleet fleet(kNodes);
  fleet.Advance(seconds(3));
  CHECK(fleet.mTotalBytes / 3 / kNodes < 60'000);
  for (int i = 0; i < kNodes; ++i) {
    CHECK(fleet.At(i).AliveCount(fleet.mNow) == kNodes);
  }
}

TEST_CASE("A domain without a direct node is reached by those of other domains")
{
  constexpr int kNodes = 40;
  Fleet fleet(kNodes);
  fleet.Advance(seconds(3));
  for (int i = 0; i < kNodes; ++i) {
    // Only the domains 0, 1 and 2 have direct nodes.
    fleet.At(i).SetGossipRole(i < 8 && i % 4 != 3 ? GossipRole::Direct
                                                  : GossipRole::Relayed);
  }
  fleet.Advance(seconds(12));
  for (int round = 0; round < 20; ++round) {
    fleet.Advance(milliseconds(250));
    std::size_t directNodes = 0;
    for (const NodeStatus& status : fleet.At(39).ServingNodes(fleet.mNow)) {
      directNodes += status.mGossipRole == GossipRole::Direct ? 1 : 0;
    }
    CHECK(directNodes == 6);
  }
  CHECK(fleet.At(39).AliveCount(fleet.mNow) >= kNodes - 2);
}

TEST_CASE(
  "A domain that was cut off is alive again soon after its reconnection")
{
  constexpr int kNodes = 40;
  Fleet fleet(kNodes);
  fleet.Advance(seconds(3));
  fleet.SetDirectNodes(8);
  fleet.Advance(seconds(10));
  for (int i = 0; i < kNodes; ++i) {
    if (i % 4 == 2) {
      fleet.mPartitioned.insert(StatusOf(i).mPeerAddress);
    }
  }
  fleet.Advance(seconds(30));
  CHECK(fleet.At(0).AliveCount(fleet.mNow) == kNodes * 3 / 4);
  CHECK(fleet.At(2).AliveCount(fleet.mNow) == kNodes / 4);
  fleet.mPartitioned.clear();
  fleet.Advance(seconds(8));
  for (const int node : { 0, 2, 33, 38 }) {
    CHECK(fleet.At(node).AliveCount(fleet.mNow) >= kNodes - 3);
  }
}

TEST_CASE("A node that announces its shutdown is no longer serving at once")
{
  Fleet fleet(8);
  fleet.Advance(seconds(3));
  fleet.At(3).SetServingState(ServingState::Leaving);
  fleet.Deliver(fleet.At(3).Announce(AnnouncementScope::AllNodes, fleet.mNow));
  for (int i = 0; i < 8; ++i) {
    CHECK(fleet.At(i).ServingNodes(fleet.mNow).size() == 7);
  }
}

TEST_CASE("A node that restarts with an earlier clock gets a later incarnation")
{
  Fleet fleet(4);
  fleet.Advance(seconds(3));
  fleet.Start(2, 50);
  fleet.Advance(seconds(1));
  CHECK(fleet.At(0).ServingNodes(fleet.mNow).size() == 4);
  CHECK(fleet.At(2).Self().mIdentity.mIncarnation > Incarnation(100));
}

TEST_CASE("In a small fleet without changes a heartbeat stays small")
{
  // Traffic between failure domains is billed.
  Fleet fleet(9);
  fleet.Advance(seconds(5));
  fleet.mLargestBytes = 0;
  fleet.Advance(seconds(5));
  CHECK(fleet.mLargestBytes < 250);
}

TEST_CASE("Changes of the store that come in quick succession cost nothing "
          "between domains, and are known there after the next round")
{
  Fleet fleet(9);
  fleet.Advance(seconds(5));
  fleet.mCrossDomainBytes = 0;
  for (std::uint64_t revision = 1; revision <= 20; ++revision) {
    fleet.At(1).SetVersions({ StoreEra(), StoreRevision(revision) },
                            milliseconds(1),
                            PlanVersion(1),
                            Revision(0));
    fleet.Deliver(
      fleet.At(1).Announce(AnnouncementScope::OwnDomain, fleet.mNow));
  }
  CHECK(fleet.mCrossDomainBytes == 0);
  // Node 5 is in the same domain.
  CHECK(fleet.At(5).PeerWithNewerStore({ StoreEra(), StoreRevision(19) },
                                       fleet.mNow) != nullptr);
  CHECK(fleet.At(2).PeerWithNewerStore({ StoreEra(), StoreRevision(19) },
                                       fleet.mNow) == nullptr);
  fleet.Advance(GossipTable::Settings().mPeriod);
  CHECK(fleet.At(2).PeerWithNewerStore({ StoreEra(), StoreRevision(19) },
                                       fleet.mNow) != nullptr);
}

TEST_CASE("A poison observation reaches each node once")
{
  Fleet fleet(8);
  fleet.Advance(seconds(2));
  const PoisonObservation observation{ Fingerprint(7), TargetName("t") };
  GossipMessage message;
  message.mPoisonObservations = { observation };
  CHECK(fleet.At(1).Receive(message, fleet.mNow).size() == 1);
  CHECK(fleet.At(1).Receive(message, fleet.mNow).empty());
  fleet.Advance(seconds(1));
  CHECK(fleet.At(5).Receive(message, fleet.mNow).empty());
  // Nodes whose rounds are over do not learn it again from the others.
  fleet.Advance(seconds(3));
  for (int i = 0; i < 8; ++i) {
    CAPTURE(i);
    CHECK(fleet.At(i).Receive(message, fleet.mNow).empty());
    for (const GossipTable::Datagram& datagram :
         fleet.At(i).Round(fleet.mNow)) {
      CHECK(datagram.mMessage.mPoisonObservations.empty());
    }
  }
  fleet.Advance(seconds(8));
  CHECK(fleet.At(5).Receive(message, fleet.mNow).size() == 1);
}

TEST_CASE("A peer that knows newer changes of the store is found")
{
  Fleet fleet(4);
  fleet.At(2).SetVersions({ StoreEra(), StoreRevision(9) },
                          milliseconds(40),
                          PlanVersion(1),
                          Revision(3));
  fleet.Advance(seconds(2));
  GossipTable& first = fleet.At(0);
  REQUIRE(first.PeerWithNewerStore({ StoreEra(), StoreRevision(8) },
                                   fleet.mNow) != nullptr);
  CHECK(first.PeerWithNewerStore({ StoreEra(), StoreRevision(8) }, fleet.mNow)
          ->mIdentity.mName == NodeName("n2"));
  CHECK(first.PeerWithNewerStore({ StoreEra(), StoreRevision(9) },
                                 fleet.mNow) == nullptr);
  // A peer of the own domain is preferred.
  Fleet largerFleet(9);
  for (const int informed : { 2, 4, 7 }) {
    largerFleet.At(informed).SetVersions({ StoreEra(), StoreRevision(9) },
                                         milliseconds(40),
                                         PlanVersion(1),
                                         Revision(3));
  }
  largerFleet.Advance(seconds(2));
  for (int i = 0; i < 20; ++i) {
    CHECK(
      largerFleet.At(0)
        .PeerWithNewerStore({ StoreEra(), StoreRevision(8) }, largerFleet.mNow)
        ->mIdentity.mName == NodeName("n4"));
  }
  CHECK(first.AliveCount(fleet.mNow) == 4);
  REQUIRE(first.Peers().size() == 3);
  CHECK(first.Peers()[1].mConfigurationRevision == Revision(3));
  CHECK(first.IsAlive(NodeName("n2"), fleet.mNow));
  CHECK(!first.IsAlive(NodeName("n2"), fleet.mNow + seconds(30)));
  CHECK(!first.IsAlive(NodeName("n9"), fleet.mNow));
  // The age is that of the last heartbeat plus the time since then.
  REQUIRE(first.StoreAge(fleet.mNow).has_value());
  CHECK(*first.StoreAge(fleet.mNow) <= milliseconds(500));
  CHECK(*first.StoreAge(fleet.mNow + seconds(3)) >= seconds(3));
  CHECK(!fleet.At(2).StoreAge(fleet.mNow).has_value());
}

TEST_CASE("Bytes that are not a gossip message are refused")
{
  GossipMessage sent;
  sent.mStatuses = { StatusOf(1) };
  sent.mPoisonConvictions = { { Fingerprint(7), seconds(20) } };
  const std::string encoded = EncodeGossip(sent);
  for (std::size_t size = 0; size < encoded.size(); ++size) {
    CHECK(IsError(DecodeGossip(std::string_view(encoded).substr(0, size))));
  }
  CHECK(IsError(DecodeGossip("hello")));
  const Result<GossipMessage> received = DecodeGossip(encoded);
  REQUIRE(!IsError(received));
  CHECK(ValueOf(received).mPoisonConvictions == sent.mPoisonConvictions);
  CHECK(ValueOf(received).mPoisonObservations.empty());
}

// Guards against a node that fetches from a peer whose larger revision is of an
// earlier era, and against bytes that earlier releases do not expect.
TEST_CASE("The store's era is reported, and decides before the revision")
{
  GossipMessage sent;
  sent.mStatuses = { StatusOf(1) };
  const std::size_t bytesWithoutEra = EncodeGossip(sent).size();
  sent.mStatuses[0].mStoreEra = StoreEra(1);
  CHECK(EncodeGossip(sent).size() == bytesWithoutEra + 1);
  const Result<GossipMessage> received = DecodeGossip(EncodeGossip(sent));
  REQUIRE(!IsError(received));
  REQUIRE(ValueOf(received).mStatuses.size() == 1);
  CHECK(ValueOf(received).mStatuses[0].Position() ==
        sent.mStatuses[0].Position());

  Fleet fleet(3);
  fleet.At(1).SetVersions({ StoreEra(1), StoreRevision(5) },
                          milliseconds(1),
                          PlanVersion(1),
                          Revision(0));
  fleet.Advance(seconds(2));
  const StorePosition earlierEra{ StoreEra(), StoreRevision(90) };
  const StorePosition laterEra{ StoreEra(2), StoreRevision(1) };
  CHECK(fleet.At(0).PeerWithNewerStore(earlierEra, fleet.mNow) != nullptr);
  CHECK(fleet.At(0).PeerWithNewerStore(laterEra, fleet.mNow) == nullptr);
}

// Guards against ages that are lost on the way, and against bytes that earlier
// releases do not expect.
TEST_CASE("The age of a relayed status is reported, that of the own is not")
{
  GossipMessage sent;
  sent.mStatuses = { StatusOf(1) };
  const std::size_t bytesOfOwn = EncodeGossip(sent).size();
  sent.mStatuses[0].mAgeMs = 700;
  CHECK(EncodeGossip(sent).size() == bytesOfOwn);
  for (const std::optional<std::uint32_t> age :
       { std::optional<std::uint32_t>(),
         std::optional<std::uint32_t>(0),
         std::optional<std::uint32_t>(119'000) }) {
    sent.mStatuses = { StatusOf(1), StatusOf(2) };
    sent.mStatuses[1].mAgeMs = age;
    const Result<GossipMessage> received = DecodeGossip(EncodeGossip(sent));
    REQUIRE(!IsError(received));
    REQUIRE(ValueOf(received).mStatuses.size() == 2);
    CHECK(ValueOf(received).mStatuses[0].mAgeMs == 0U);
    CHECK(ValueOf(received).mStatuses[1].mAgeMs == age);
  }
}

// Guards against a store that seems to have responded lately, because the node
// that says so has only now been heard of.
TEST_CASE("The age of a relayed status counts for the age of the store")
{
  const Instant now(seconds(1));
  GossipTable table(GossipTable::Settings(), StatusOf(0));
  GossipMessage message;
  message.mStatuses = { StatusOf(1), StatusOf(2) };
  message.mStatuses[1].mStoreAgeMs = 100;
  message.mStatuses[1].mAgeMs = 40'000;
  table.Receive(message, now);
  CHECK(table.StoreAge(now) == milliseconds(40'100));
  CHECK(table.IsAlive(NodeName("n1"), now));
  CHECK(!table.IsAlive(NodeName("n2"), now));
  CHECK(table.PossiblyAlive(now).size() == 2);
}

} // namespace verbenachute
