#pragma once

#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace verbenachute::load {

/// Latencies of one class of requests.
class LatencySamples
{
public:
  void Add(Duration aLatency);
  [[nodiscard]] std::size_t Count() const { return mMilliseconds.size(); }
  /// The exact quantile in milliseconds, for a share from 0 to 1; 0 without
  /// samples.
  [[nodiscard]] double Quantile(double aShare) const;
  /// Bars over logarithmic bins of the latency, for a terminal.
  [[nodiscard]] std::string Histogram() const;

private:
  std::vector<double> mMilliseconds;
};

} // namespace verbenachute::load
