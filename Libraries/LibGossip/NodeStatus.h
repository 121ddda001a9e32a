#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/PoisonDetector.h>
#include <LibRouting/ServingPlan.h>
#include <LibStore/StoreItem.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace verbenachute {

/// Life cycle of a node. Only a node in state Serving may be advertised to
/// callers.
enum class ServingState
{
  /// The node has not yet read the state that it needs to serve.
  Starting,
  Serving,
  /// The node finishes its pending requests and then stops.
  Leaving,
};

/// Which nodes receive the status of a node from itself, not through others.
enum class GossipRole
{
  /// A few nodes at a time, which relay it (a relayed node).
  Relayed,
  /// All nodes, in each round, so that its failure is detected early (a direct
  /// node).
  Direct,
};

/// Status that a node reports about itself. Of two with the same incarnation
/// the one with the higher count is newer.
struct NodeStatus
{
  NodeIdentity mIdentity;
  std::uint64_t mHeartbeatCount = 0;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  /// Address for delegated requests; port 0 if the node accepts none.
  SocketAddress mGatherAddress;
  FailureDomain mDomain;
  ServingState mServingState = ServingState::Starting;
  GossipRole mGossipRole = GossipRole::Direct;
  /// The node knows all changes of the store up to this revision.
  StoreRevision mStoreRevision;
  /// The store's era to which that revision belongs.
  StoreEra mStoreEra = StoreEra();
  /// Milliseconds since the last response of the store to the node; empty if
  /// there was none.
  std::optional<std::uint32_t> mStoreAgeMs;
  PlanVersion mPlanVersion;
  /// Revision of the operators' configuration that is in force on the node.
  Revision mConfigurationRevision;
  /// Milliseconds since the node issued this status, when a peer relays it.
  /// Empty if the peer runs an earlier release, which does not tell.
  std::optional<std::uint32_t> mAgeMs = 0;
  /// CPU capacity that the node may use, in thousandths of a core.
  std::uint32_t mCpuMillicores = 0;
  /// CPU usage of the node, in thousandths of a core.
  std::uint32_t mUsedMillicores = 0;

  /// The state of the store that the node knows.
  [[nodiscard]] StorePosition Position() const
  {
    return { mStoreEra, mStoreRevision };
  }

  friend bool operator==(const NodeStatus&, const NodeStatus&) = default;
};

/// Message from one node to another: first the sender's own status, then those
/// of other nodes.
struct GossipMessage
{
  std::vector<NodeStatus> mStatuses;
  std::vector<PoisonObservation> mPoisonObservations;
  std::vector<PoisonConviction> mPoisonConvictions;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

} // namespace verbenachute
