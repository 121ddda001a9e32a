#pragma once

#include <LibGossip/NodeStatus.h>

#include <map>
#include <vector>

namespace verbenachute {

/// Chooses the nodes that the directory advertises. A small fleet advertises
/// all. In a large one only the strongest nodes get callers, as many as the
/// load requires: their connections to targets stay in use and they detect slow
/// targets soon, which many nodes with little traffic each do not.
class AdvertisementPolicy
{
public:
  /// A fleet of up to this many nodes is small and advertises all of them.
  static constexpr std::size_t kSmallFleetNodes = 12;
  /// Minimum number of advertised nodes in a large fleet.
  static constexpr std::size_t kMinimumAdvertisedNodes = 8;

  /// Returns the nodes to advertise out of those that serve. In a large fleet
  /// the strongest come first.
  [[nodiscard]] static std::vector<NodeStatus> Choose(
    std::vector<NodeStatus> aServing);
};

/// Tracks the nodes that were advertised recently: callers may still connect to
/// them, and the requests that they have sent count against limits that all
/// nodes share.
class RecentlyAdvertisedNodes
{
public:
  void OnAdvertised(const std::vector<NodeStatus>& aAdvertised, Instant aNow);
  /// aNodes are those that the store lists when this node starts to serve. It
  /// has received no heartbeat from them yet, but if all nodes were lost they
  /// start at the same time. In a large fleet only kSmallFleetNodes of them
  /// count.
  void OnRegistered(const std::vector<NodeName>& aNodes, Instant aNow);
  [[nodiscard]] std::vector<NodeName> Current(Instant aNow) const;

private:
  std::map<NodeName, Instant> mLastAdvertised;
};

} // namespace verbenachute
