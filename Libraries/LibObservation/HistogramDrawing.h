#pragma once

#include <LibCore/Error.h>

#include <cstdint>
#include <string>
#include <vector>

namespace verbenachute {

/// One bar of a histogram, as read back from the metrics of a node.
struct HistogramBar
{
  /// Upper bound in seconds; infinity for the last bar.
  double mBoundSeconds = 0;
  /// Latencies in this bar alone.
  std::uint64_t mCount = 0;

  friend bool operator==(const HistogramBar&, const HistogramBar&) = default;
};

/// Reads the bars of one histogram out of the text exposition of a node, such
/// as metric "verbenachute_class_latency_seconds", label `class="field"`.
/// NotFound if the text has no such histogram, InvalidInput if its counts are
/// no histogram.
[[nodiscard]] Result<std::vector<HistogramBar>>
ReadHistogram(const std::string& aExposition,
              const std::string& aMetric,
              const std::string& aLabel);

/// Adds the bars of a second node; both have the same bounds.
[[nodiscard]] Result<std::vector<HistogramBar>>
AddHistograms(const std::vector<HistogramBar>& aFirst,
              const std::vector<HistogramBar>& aSecond);

/// Draws the bars for a terminal, one line each, with bounds in ms. The
/// longest bar has the given width in characters.
[[nodiscard]] std::string
DrawHistogram(const std::vector<HistogramBar>& aBars, std::size_t aWidth);

} // namespace verbenachute
