#pragma once

#include <LibGossip/NodeNews.h>
#include <LibStore/StoreFollower.h>

#include <optional>
#include <vector>

namespace verbenachute {

/// Decides which nodes watch the store. In a small fleet every node does. In a
/// large one a few of the advertised nodes do and the others receive its
/// updates from peers, so that the number of calls does not grow with the
/// fleet. A node watches the store itself once no peer is known to have reached
/// it recently.
class StoreDuty
{
public:
  struct Facts
  {
    NodeName mSelf;
    /// Number of live nodes, including this one.
    std::size_t mLiving = 1;
    /// Advertised nodes, strongest first.
    std::vector<NodeNews> mAdvertised;
    /// Time since the store last answered a live peer; empty if not known.
    std::optional<Duration> mPeersStoreAge;
    /// Time since this node started.
    Duration mRunning{ 0 };
  };

  struct Duty
  {
    FollowSource mSource = FollowSource::Store;
    /// Longest time that one watch call waits for a change.
    Duration mWatchWait{ 0 };
  };

  [[nodiscard]] static Duty Decide(const Facts& aFacts);
};

} // namespace verbenachute
