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

/// Latencies counted in fixed buckets, so that histograms of many nodes can
/// be added up.
class Histogram
{
public:
  /// Inclusive upper bounds. What exceeds the last one counts in a further
  /// bucket without a bound.
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
  /// Latencies in one bucket alone; the index kBounds.size() is the last.
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
