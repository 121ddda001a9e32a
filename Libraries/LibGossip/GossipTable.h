#pragma once

#include <LibGossip/NodeStatus.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <vector>

namespace verbenachute {

/// Receivers of an announcement.
enum class AnnouncementScope
{
  /// The receivers of a regular round within this node's failure domain. Nodes
  /// of other domains hear of it in the next round.
  OwnDomain,
  /// The receivers of a regular round, which relay it.
  GossipPeers,
  /// Every node that is alive.
  AllNodes,
};

/// Detects failed nodes by gossip. In each round a node increments its own
/// heartbeat count and sends it, with the counts of others, to some nodes. A
/// node whose count does not increase is no longer advertised to callers.
///
/// A relayed status carries its age, so that no node takes an old status for a
/// sign of life when it first hears of a node or has forgotten it.
///
/// In a large fleet the direct nodes, which are those that are advertised to
/// callers, send to each other and to the nodes of their own failure domain, so
/// that little traffic crosses domains. They relay what comes from another
/// domain within their own, and what a relayed node of their own domain reports
/// to the other domains.
class GossipTable
{
public:
  struct Settings
  {
    /// Interval between two rounds.
    Duration mPeriod = milliseconds(250);
    /// Rounds from one message of a relayed node to the next.
    unsigned mRelayedRoundInterval = 7;
    /// Number of direct nodes to which a relayed node sends; they relay its
    /// status.
    std::size_t mRelayFanout = 1;
    /// Maximum number of entries of other nodes in one datagram; an entry has
    /// about 85 bytes.
    std::size_t mMaximumEntries = 12;
    /// Maximum number of datagrams to one receiver in a round; entries that do
    /// not fit wait for the next round.
    std::size_t mMaximumDatagrams = 8;
    /// While there are more direct nodes than this in other domains, as after a
    /// simultaneous start of all nodes, a round goes to mStartupFanout of them.
    std::size_t mStartupThreshold = 24;
    std::size_t mStartupFanout = 6;
    /// Rounds from one entry of an unchanged node to the next. Such entries let
    /// a node that started late find the others.
    unsigned mUnchangedEntryInterval = 4;
    /// With up to this number of peers each node sends to all of them.
    std::size_t mFullMeshLimit = 12;
    std::uint64_t mSeed = 1;
  };

  /// A message and the addresses to which it is sent.
  struct Datagram
  {
    std::vector<SocketAddress> mReceivers;
    GossipMessage mMessage;
  };

  GossipTable(const Settings& aSettings, NodeStatus aSelf);

  /// Adds an address at which a node may run, from the settings or the store.
  void AddSeed(const SocketAddress& aAddress);
  void SetServingState(ServingState aState);
  /// Direct for a node that is advertised to callers. In a small fleet every
  /// node gets Direct.
  void SetGossipRole(GossipRole aGossipRole);
  /// CPU usage of this node, in thousandths of a core.
  void SetUsedMillicores(std::uint32_t aThousandths)
  {
    mSelf.mUsedMillicores = aThousandths;
  }
  /// The versions that this node reports. aStoreAge is the time since the last
  /// response of the store, empty if there was none.
  void SetVersions(StorePosition aStorePosition,
                   std::optional<Duration> aStoreAge,
                   PlanVersion aPlanVersion,
                   Revision aConfigurationRevision);
  /// Sends a poison observation in the next rounds.
  void AddPoisonObservation(const PoisonObservation& aObservation,
                            Instant aNow);

  /// The requests that this node refuses, for the messages of the next round.
  void SetPoisonConvictions(std::vector<PoisonConviction> aConvictions)
  {
    mPoisonConvictions = std::move(aConvictions);
  }

  /// Executes one round and returns its datagrams. Call it once in each
  /// Settings::mPeriod, and before the first message is received: a pause is
  /// recognised by the time since the last round.
  [[nodiscard]] std::vector<Datagram> Round(Instant aNow);
  /// Returns datagrams that report a change of this node's status without
  /// waiting for the next round.
  [[nodiscard]] std::vector<Datagram> Announce(AnnouncementScope aScope,
                                               Instant aNow);
  /// Merges a message into the table. Returns its poison observations that are
  /// new to this node.
  std::vector<PoisonObservation> Receive(const GossipMessage& aMessage,
                                         Instant aNow);

  /// The nodes that are alive and in state Serving, this one included; sorted
  /// by name.
  [[nodiscard]] std::vector<NodeStatus> ServingNodes(Instant aNow) const;
  /// Whether a node of another failure domain is alive.
  [[nodiscard]] bool ReachesOtherDomains(Instant aNow) const;
  /// Number of the addresses that belong to nodes known to be in another
  /// failure domain.
  [[nodiscard]] std::size_t CountInOtherDomains(
    const std::vector<SocketAddress>& aAddresses) const;
  /// Nodes of other failure domains whose latest status is Serving and not
  /// older than kOtherDomainRetention; sorted by name.
  [[nodiscard]] std::vector<NodeStatus> RecentNodesOfOtherDomains(
    Instant aNow) const;
  /// The nodes that may still send to targets: this one and those with a status
  /// not older than kPossiblyAliveTime.
  [[nodiscard]] std::vector<NodeName> PossiblyAlive(Instant aNow) const;
  /// A random peer that is alive and knows a later state of the store, from
  /// this node's domain if it has one; null if there is none.
  [[nodiscard]] const NodeStatus* PeerWithNewerStore(StorePosition aNewerThan,
                                                     Instant aNow);
  /// Time since the most recent response of the store to any known peer; empty
  /// if none is known.
  [[nodiscard]] std::optional<Duration> StoreAge(Instant aNow) const;
  /// Number of nodes that are alive, this one included.
  [[nodiscard]] std::size_t AliveCount(Instant aNow) const;
  /// The latest status of every other known node, alive or not.
  [[nodiscard]] std::vector<NodeStatus> Peers() const;
  /// Whether that peer is known and alive.
  [[nodiscard]] bool IsAlive(const NodeName& aPeer, Instant aNow) const;
  [[nodiscard]] const NodeStatus& Self() const { return mSelf; }

  /// Longer than most outages of the links between domains.
  static constexpr Duration kOtherDomainRetention = seconds(30);
  /// How long a silent node still counts for limits that all nodes share.
  static constexpr Duration kPossiblyAliveTime = seconds(11);

private:
  struct Peer
  {
    NodeStatus mStatus;
    /// When the node issued mStatus, as far as this node can tell. Silence
    /// counts from here, however late a status arrives through others.
    Instant mIssuedAt;
    /// When its incarnation, serving state or role changed last.
    Instant mLastChange;
    /// The status is to be relayed within this node's domain.
    bool mRelayToOwnDomain = false;
    /// The status is to be relayed to the other domains.
    bool mRelayToOtherDomains = false;
  };
  using RelayFlag = bool Peer::*;

  struct KnownObservation
  {
    unsigned mRoundsLeft = 0;
    /// Whether this node made the observation.
    bool mIsOwn = false;
    /// Until then copies that other nodes still send are not taken for new.
    Instant mForgetAt;
  };

  struct Receivers
  {
    std::vector<SocketAddress> mOwnDomain;
    std::vector<SocketAddress> mOtherDomains;
  };

  void StorePoisonObservation(const PoisonObservation& aObservation,
                              bool aIsOwn,
                              Instant aNow);
  /// Whether this process has not run since the last round.
  [[nodiscard]] bool WasPaused(Instant aNow) const;
  /// The earliest time at which a message that is read now can have arrived.
  [[nodiscard]] Instant EarliestArrival(Instant aNow) const;
  /// When the node issued a status that is read now. Empty if it cannot be
  /// told, since an earlier release relayed the status.
  [[nodiscard]] std::optional<Instant> IssueTime(const NodeStatus& aStatus,
                                                 Instant aNow) const;
  /// Raises this node's incarnation above that which others know.
  void SupersedeIncarnation(Incarnation aKnown);
  /// Messages with this node's status, those that changed recently and those
  /// that are marked by the flag, which is then cleared.
  [[nodiscard]] std::vector<GossipMessage> BuildMessages(RelayFlag aRelay,
                                                         Instant aNow);
  /// Number of targets that each request is known to have lost.
  [[nodiscard]] std::map<Fingerprint, std::size_t> LostTargetCounts() const;
  /// Convictions for the messages of this round: a part of them in turn, in the
  /// rounds that carry unchanged entries.
  [[nodiscard]] std::vector<PoisonConviction> DuePoisonConvictions() const;
  /// The observations to send next: those of the requests that lost most
  /// targets first, then this node's own, then those that were sent least.
  [[nodiscard]] std::vector<PoisonObservation> DuePoisonObservations() const;
  [[nodiscard]] static bool IsRecentlyChanged(const Peer& aPeer, Instant aNow);
  [[nodiscard]] bool IsInOwnDomain(const Peer& aPeer) const;
  [[nodiscard]] std::vector<Datagram> BuildDatagrams(AnnouncementScope aScope,
                                                     Instant aNow);
  [[nodiscard]] Receivers DirectNodeReceivers(Instant aNow);
  [[nodiscard]] std::vector<SocketAddress> RelayedNodeReceivers(Instant aNow);
  /// Nodes in domains without a direct node, if this node is one of those that
  /// send to them.
  [[nodiscard]] std::vector<SocketAddress> UncoveredNodes(Instant aNow) const;
  /// Addresses of seeds and silent nodes, which may be running again or only be
  /// cut off: a random one, or all of them if aAll is set because there is no
  /// other receiver.
  [[nodiscard]] std::vector<SocketAddress> ProbeReceivers(Instant aNow,
                                                          bool aAll);
  void Merge(const NodeStatus& aStatus,
             bool aIsFirstHand,
             bool aFromOtherDomain,
             Instant aNow);
  [[nodiscard]] bool IsSmallFleet() const;
  [[nodiscard]] Duration SilenceTimeout(const Peer& aPeer) const;
  [[nodiscard]] bool IsPeerAlive(const Peer& aPeer, Instant aNow) const;

  Settings mSettings;
  NodeStatus mSelf;
  std::map<NodeName, Peer> mPeers;
  std::set<SocketAddress> mSeeds;
  std::map<PoisonObservation, KnownObservation> mPoisonObservations;
  std::vector<PoisonConviction> mPoisonConvictions;
  unsigned mRoundCount = 0;
  std::optional<Instant> mLastRound;
  /// Last round before a pause of this process, until the round after the next
  /// one: messages that have waited since then may still be read.
  std::optional<Instant> mQueuedSince;
  std::minstd_rand mRandom;
};

} // namespace verbenachute
