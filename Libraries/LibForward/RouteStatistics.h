#pragma once

#include <LibForward/QuantileTracker.h>
#include <LibForward/RecordFloorEstimator.h>
#include <LibRouting/Route.h>

#include <map>
#include <string>

namespace verbenachute {

/// Statistics of the requests of one route, over all targets and all versions
/// of the plan.
class RouteStatistics
{
public:
  explicit RouteStatistics(const Route& aRoute);

  void ObserveLatency(Duration aLatency);
  /// Median latency of an attempt.
  [[nodiscard]] Duration MedianLatency() const { return mMedian.Estimate(); }
  /// Latency within which most attempts end; after this time a hedge is
  /// worthwhile.
  [[nodiscard]] Duration TailLatency() const;

  /// aLatency is the time from sending a delegation to the peer's first report.
  void ObserveDelegation(Duration aLatency);
  /// How long to wait for a peer's first report before other targets are sent
  /// the request.
  [[nodiscard]] Duration DelegationTimeout() const;

  /// aTimeLimit is how long a caller waits, from the arrival of its request.
  void ObserveTimeLimit(Duration aTimeLimit);
  /// Estimates the time that a caller has spent on earlier attempts, from the
  /// time it has left: the difference to the longest time limit seen. Never
  /// negative.
  [[nodiscard]] Duration TimeSpentBefore(Duration aTimeLimit) const;

  /// Returns the index of the service that gets the next request; the shares of
  /// the requests follow the weights closely at any time.
  [[nodiscard]] std::size_t NextService(
    const std::vector<WeightedService>& aServices);

  /// Estimates which records can belong to an answer of the route.
  [[nodiscard]] RecordFloorEstimator& RecordFloor() { return mRecordFloor; }

private:
  Duration mObjective;
  QuantileTracker mMedian;
  QuantileTracker mTail;
  QuantileTracker mDelegation;
  Duration mLongestTimeLimit{ 0 };
  /// Share of the requests that each service is still owed, in requests.
  std::map<ServiceName, double> mCredits;
  RecordFloorEstimator mRecordFloor;
};

} // namespace verbenachute
