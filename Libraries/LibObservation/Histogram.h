#pragma once

#include <LibCore/Time.h>

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include <array>
#include <cstdint>

namespace verbenachute {

/// Latencies counted in fixed buckets, so that the histograms of many nodes can
/// be added.
class Histogram
{
public:
  /// Inclusive upper bounds of the buckets. Latencies above the last bound
  /// count in one more bucket without a bound.
  static constexpr std::array<Duration, 19> kBounds = {
    microseconds(500),  milliseconds(1),   milliseconds(2),   milliseconds(4),
    milliseconds(7),    milliseconds(10),  milliseconds(15),  milliseconds(20),
    milliseconds(30),   milliseconds(50),  milliseconds(71),  milliseconds(100),
    milliseconds(150),  milliseconds(250), milliseconds(500), seconds(1),
    milliseconds(2500), seconds(5),        seconds(10)
  };

  void Observe(Duration aLatency);

  [[nodiscard]] std::uint64_t Count() const;
  /// Sum of all latencies, in seconds.
  [[nodiscard]] double SumSeconds() const;
  /// The longest latency, in seconds; 0 if there is none.
  [[nodiscard]] double MaxSeconds() const;
  /// Number of latencies in one bucket alone, not cumulative. Index
  /// kBounds.size() is the bucket without a bound; a larger index ends the
  /// process.
  [[nodiscard]] std::uint64_t BucketCount(std::size_t aBucket) const;

private:
  using Bucket = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count>>;
  using Summary = boost::accumulators::accumulator_set<
    double,
    boost::accumulators::stats<boost::accumulators::tag::count,
                               boost::accumulators::tag::sum,
                               boost::accumulators::tag::max>>;

  std::array<Bucket, kBounds.size() + 1> mBuckets;
  Summary mSummary;
};

} // namespace verbenachute
