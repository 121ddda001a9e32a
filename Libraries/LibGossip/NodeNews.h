#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/PoisonLog.h>
#include <LibRouting/ServingPlan.h>
#include <LibStore/StoreItem.h>

#include <cstdint>
#include <optional>
#include <vector>

namespace verbenachute {

/// Whether a node may be offered to callers.
enum class NodeService
{
  /// It has not yet read what it needs to serve.
  Starting,
  Serving,
  /// It finishes what it has and ends.
  Leaving,
};

/// To whom a node sends its news itself.
enum class NodeReach
{
  /// To a few nodes at a time, which pass it on.
  Some,
  /// To all nodes, each round: its silence is noticed soon.
  All,
};

/// What a node says of itself. A higher count of the same life is newer.
struct NodeNews
{
  NodeIdentity mIdentity;
  std::uint64_t mCount = 0;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  /// Where it takes delegations; port 0 if it takes none.
  SocketAddress mGatherAddress;
  FailureDomain mDomain;
  NodeService mService = NodeService::Starting;
  NodeReach mReach = NodeReach::All;
  /// Changes of the store that it knows.
  StoreRevision mStore;
  /// Milliseconds since the store answered it last; nothing if it has not.
  std::optional<std::uint32_t> mStoreAge;
  PlanVersion mPlan;
  /// Revision of the operators' configuration that it has in force.
  Revision mIntent;
  /// Processor that the node may use, in thousandths of a core.
  std::uint32_t mPower = 0;
  /// What it uses of that, in thousandths of a core.
  std::uint32_t mUsed = 0;

  friend bool operator==(const NodeNews&, const NodeNews&) = default;
};

/// What one node sends another: its own news first, then that of others.
struct GossipMessage
{
  std::vector<NodeNews> mNews;
  std::vector<PoisonStrike> mStrikes;

  friend bool operator==(const GossipMessage&, const GossipMessage&) = default;
};

} // namespace verbenachute
