#pragma once

#include <LibGossip/NodeStatus.h>
#include <LibStore/StoreFollower.h>

#include <optional>
#include <vector>

namespace verbenachute {

/// Decides which nodes watch the store. In a small fleet every node does. In a
/// large one a few of the advertised nodes do and the others receive its
/// updates from peers, so that the number of calls does not grow with the
/// fleet. A node watches the store itself once no peer is known to have reached
/// it recently.
class StoreWatchRole
{
public:
  struct Inputs
  {
    NodeName mSelf;
    /// Number of live nodes, including this one.
    std::size_t mAliveCount = 1;
    /// Advertised nodes, strongest first.
    std::vector<NodeStatus> mAdvertised;
    /// Time since the store last answered a live peer; empty if not known.
    std::optional<Duration> mPeersStoreAge;
    /// Time since this node started.
    Duration mRunning{ 0 };
  };

  struct Role
  {
    UpdateSource mSource = UpdateSource::Store;
    /// Longest time that one watch call waits for a change.
    Duration mWatchTimeout{ 0 };
  };

  [[nodiscard]] static Role Choose(const Inputs& aInputs);
};

} // namespace verbenachute
