#pragma once

#include <LibGossip/NodeNews.h>

#include <map>
#include <vector>

namespace verbenachute {

/// Chooses the nodes that the directory names. A small fleet names all. In a
/// large one the strongest nodes carry the callers, as many as the load needs:
/// they keep their connections to targets in use and learn of slow targets
/// soon, which many nodes with little traffic each do not.
class OfferPolicy
{
public:
  /// Up to this many nodes all are named; more never fall below it.
  static constexpr std::size_t kLeastNodes = 12;
  /// In a large fleet this many carry the callers at least.
  static constexpr std::size_t kCarriers = 8;

  /// The nodes to name, strongest first, out of those that serve.
  [[nodiscard]] static std::vector<NodeNews> Choose(
    std::vector<NodeNews> aServing);
};

/// Remembers which nodes were named lately: callers may still come to them,
/// and what they have sent counts against limits that all nodes share.
class SenderWatch
{
public:
  void OnNamed(const std::vector<NodeNews>& aNamed, Instant aNow);
  /// Nodes that the store lists when this node starts to serve. It has not
  /// heard of them yet, but after a loss of all nodes they start as well. In a
  /// large fleet only as many count as a small one may have.
  void OnRegistered(const std::vector<NodeName>& aNodes, Instant aNow);
  [[nodiscard]] std::vector<NodeName> Senders(Instant aNow) const;

private:
  std::map<NodeName, Instant> mLastNamed;
};

} // namespace verbenachute
