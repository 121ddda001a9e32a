#pragma once

#include <LibCore/Time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/p_square_quantile.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <optional>

namespace verbenachute {

/// Estimates one quantile of the recent latencies of a service in constant
/// space. Two windows take turns, so that old latencies are forgotten.
class LatencyEstimator
{
public:
  /// aQuantile lies between 0 and 1, such as 0.95.
  explicit LatencyEstimator(double aQuantile);

  void Observe(Duration aLatency, Instant aNow);

  /// Notes a latency that is only known to be longer than aBound. A bound
  /// below the estimate tells nothing; leaving out those above it would make
  /// the estimate fall with each hedge that wins.
  void ObserveAtLeast(Duration aBound, Instant aNow);

  /// The quantile, or nothing while too few latencies are known.
  [[nodiscard]] std::optional<Duration> Quantile() const;

private:
  using Window = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::p_square_quantile>>;

  [[nodiscard]] Window NewWindow() const;

  double mQuantile;
  Window mCurrent;
  Instant mCurrentSince;
  /// The quantile of the window before, once there was one.
  std::optional<Duration> mPrevious;
};

} // namespace verbenachute
