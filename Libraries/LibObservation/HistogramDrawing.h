#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenachute {

/// One bucket of a histogram, as parsed from the metrics of a node.
struct HistogramBucket
{
  /// Inclusive upper bound in seconds; infinity for the last bucket.
  double mBoundSeconds = 0;
  /// Number of latencies in this bucket alone, not cumulative.
  std::uint64_t mCount = 0;

  friend bool operator==(const HistogramBucket&,
                         const HistogramBucket&) = default;
};

/// Parses one histogram from the text exposition of a node, such as metric
/// "verbenachute_class_latency_seconds", label `class="field"`. The error is
/// NotFound if the text has no such histogram and InvalidInput if its counts
/// are malformed or decrease, both at step Parse.
[[nodiscard]] Result<std::vector<HistogramBucket>>
ReadHistogram(const std::string& aExposition,
              const std::string& aMetric,
              const std::string& aLabel);

/// Adds the counts of two histograms. Different bounds are an InvalidInput
/// error at step Parse.
[[nodiscard]] Result<std::vector<HistogramBucket>>
AddHistograms(const std::vector<HistogramBucket>& aFirst,
              const std::vector<HistogramBucket>& aSecond);

/// Draws a histogram for a terminal, with one line for each bucket and bounds
/// in milliseconds. The longest bar is aWidth characters wide.
[[nodiscard]] std::string
DrawHistogram(const std::vector<HistogramBucket>& aBuckets, std::size_t aWidth);

} // namespace verbenachute
