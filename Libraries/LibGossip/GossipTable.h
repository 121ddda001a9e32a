#pragma once

#include <LibGossip/NodeNews.h>

#include <map>
#include <random>
#include <set>
#include <vector>

namespace verbenachute {

/// Finds out which nodes live by the counts that they spread: each node sends
/// its own count and what it has heard to a few others, over and over. A node
/// whose count stands still is not offered to callers any more.
class GossipTable
{
public:
  struct Settings
  {
    /// Pause between two rounds.
    Duration mPeriod = milliseconds(250);
    /// Rounds from one message to the next of a node that does not reach all.
    unsigned mRest = 7;
    /// Nodes that reach all to which it sends; they pass its news on.
    std::size_t mFanout = 1;
    /// Entries of other nodes in one datagram; about 85 bytes each.
    std::size_t mEntries = 12;
    /// Up to this many peers each node sends to all of them.
    std::size_t mDirect = 12;
    std::uint64_t mSeed = 1;
  };

  /// A datagram to send.
  struct Datagram
  {
    SocketAddress mTo;
    GossipMessage mMessage;
  };

  GossipTable(const Settings& aSettings, NodeNews aSelf);

  /// An address where a node may be, from the settings or from the store.
  void AddSeed(const SocketAddress& aAddress);
  void SetService(NodeService aService);
  /// A node that carries callers reaches all others itself; in a small fleet
  /// every node does.
  void SetReach(NodeReach aReach);
  /// What this node uses of its processor, in thousandths of a core.
  void SetUsed(std::uint32_t aThousandths) { mSelf.mUsed = aThousandths; }
  void SetKnowledge(StoreRevision aStore,
                    std::optional<Duration> aStoreAge,
                    PlanVersion aPlan,
                    Revision aIntent);
  /// Spreads a strike in the next rounds.
  void AddStrike(const PoisonStrike& aStrike);

  /// One round; call it each Settings::mPeriod.
  [[nodiscard]] std::vector<Datagram> Round(Instant aNow);
  /// A round to all nodes at once, for news that must not wait.
  [[nodiscard]] std::vector<Datagram> Announce(Instant aNow);
  /// Takes a message in; gives the strikes that were not known yet.
  std::vector<PoisonStrike> Receive(const GossipMessage& aMessage,
                                    Instant aNow);

  /// This node and the others that are heard of and serve; sorted by name.
  [[nodiscard]] std::vector<NodeNews> Offered(Instant aNow) const;
  /// All that may still be sending: heard of within kMayLive.
  [[nodiscard]] std::vector<NodeName> MayLive(Instant aNow) const;
  /// A living peer that knows changes of the store after a revision; null if
  /// there is none.
  [[nodiscard]] const NodeNews* Informed(StoreRevision aNewerThan,
                                         Instant aNow);
  /// Time since the store is known to have answered some living peer.
  [[nodiscard]] std::optional<Duration> StoreAge(Instant aNow) const;
  /// Living nodes, this one included.
  [[nodiscard]] std::size_t Living(Instant aNow) const;
  /// The latest news of every other node that is remembered, living or not.
  [[nodiscard]] std::vector<NodeNews> Peers() const;
  /// Whether that peer is heard of.
  [[nodiscard]] bool IsLiving(const NodeName& aPeer, Instant aNow) const;
  [[nodiscard]] const NodeNews& Self() const { return mSelf; }

  /// A silent node counts for limits that nodes share for this long.
  static constexpr Duration kMayLive = seconds(11);

private:
  struct Peer
  {
    NodeNews mNews;
    Instant mHeard;
    /// When its life or its service changed last.
    Instant mChanged;
    /// It was heard itself and waits to be passed on.
    bool mToRelay = false;
  };

  void Outlive(Incarnation aHeard);
  [[nodiscard]] GossipMessage Message(Instant aNow);
  [[nodiscard]] static bool IsPressing(const Peer& aPeer, Instant aNow);
  [[nodiscard]] std::vector<SocketAddress> Receivers(Instant aNow);
  [[nodiscard]] bool IsSmall() const;
  [[nodiscard]] Duration SilenceLimit(const Peer& aPeer) const;
  [[nodiscard]] bool IsHeard(const Peer& aPeer, Instant aNow) const;

  Settings mSettings;
  NodeNews mSelf;
  std::map<NodeName, Peer> mPeers;
  std::set<SocketAddress> mSeeds;
  /// Strikes and the rounds for which they are still sent.
  std::map<std::pair<Fingerprint, TargetName>, unsigned> mStrikes;
  unsigned mRounds = 0;
  std::minstd_rand mRandom;
};

} // namespace verbenachute
