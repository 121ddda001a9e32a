#pragma once

#include <LibRollout/LatencyHistogram.h>

#include <array>
#include <cstdint>
#include <map>
#include <string>

namespace verbenachute {

/// A version with respect to an order.
enum class RolloutVersion
{
  Old,
  New,
};

/// Responses of one version on one route.
struct VersionCounts
{
  std::uint64_t mResponses = 0;
  std::uint64_t mFailed = 0;
  /// Successful responses of targets that were not cold.
  LatencyHistogram mLatencies;

  void Add(const VersionCounts& aOther);

  friend bool operator==(const VersionCounts&, const VersionCounts&) = default;
};

/// What was counted during an order, by one node or by several together. All
/// values only increase within an incarnation of a node.
struct RolloutCounts
{
  using ByVersion = std::array<VersionCounts, 2>;

  /// Requests sent to targets of the service.
  std::uint64_t mSent = 0;
  /// Those of them that were sent to the new version.
  std::uint64_t mSentNew = 0;
  /// By name of the route.
  std::map<std::string, ByVersion> mRoutes;

  void Add(const RolloutCounts& aOther);
  /// The counts of a route. Routes beyond a fixed number share one entry.
  [[nodiscard]] ByVersion& Of(const std::string& aRoute);

  friend bool operator==(const RolloutCounts&, const RolloutCounts&) = default;
};

} // namespace verbenachute
