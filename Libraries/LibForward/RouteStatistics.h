#pragma once

#include <LibForward/QuantileTracker.h>
#include <LibRouting/Route.h>

#include <map>
#include <string>

namespace verbenachute {

/// What this node has learnt of the requests of one route, over all targets
/// and over all versions of the plan.
class RouteStatistics
{
public:
  explicit RouteStatistics(const Route& aRoute);

  void ObserveLatency(Duration aLatency);
  /// Median time of an attempt.
  [[nodiscard]] Duration Typical() const { return mMedian.Estimate(); }
  /// Time within which most attempts end; a longer one is worth a hedge.
  [[nodiscard]] Duration Usual() const;

  /// Time from a delegation to the first report of the peer.
  void ObserveDelegation(Duration aLatency);
  /// How long a peer is waited for before other targets are asked.
  [[nodiscard]] Duration DelegationPatience() const;

  /// A caller waits this long from the arrival of its request.
  void ObservePatience(Duration aPatience);
  /// Time that a caller has spent on earlier attempts, from what it has left.
  [[nodiscard]] Duration SpentBefore(Duration aPatience) const;

  /// Which of the services that share a route is next; the shares of the
  /// requests follow the weights closely at any time.
  [[nodiscard]] std::size_t NextService(
    const std::vector<WeightedService>& aServices);

private:
  Duration mObjective;
  QuantileTracker mMedian;
  QuantileTracker mMost;
  QuantileTracker mDelegated;
  Duration mLongestPatience{ 0 };
  /// Unused share of each service, by name.
  std::map<ServiceName, double> mCredit;
};

} // namespace verbenachute
