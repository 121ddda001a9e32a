#pragma once

#include <LibGossip/NodeNews.h>
#include <LibStore/StoreFollower.h>

#include <optional>
#include <vector>

namespace verbenachute {

/// Who watches the store. In a small fleet every node does. In a large one a
/// few of the nodes that carry callers do and the others learn from peers, so
/// that the calls do not grow with the fleet; each node watches itself as soon
/// as nobody is known to be in touch with the store.
class StoreDuty
{
public:
  struct Facts
  {
    NodeName mSelf;
    /// Living nodes, this one included.
    std::size_t mLiving = 1;
    /// Nodes that carry callers, strongest first.
    std::vector<NodeNews> mCarriers;
    /// Time since the store answered a living peer; nothing if not known.
    std::optional<Duration> mPeersStoreAge;
    /// Time since this node started.
    Duration mRunning{ 0 };
  };

  struct Duty
  {
    FollowSource mSource = FollowSource::Store;
    Duration mWatchWait{ 0 };
  };

  [[nodiscard]] static Duty Decide(const Facts& aFacts);
};

} // namespace verbenachute
