#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// Estimates one quantile of a stream of durations in constant memory: each
/// sample moves the estimate up by a step in proportion to the quantile or down
/// by one in proportion to its complement, so that the estimate settles where
/// the samples balance.
class QuantileTracker
{
public:
  /// aQuantile is between 0 and 1, both excluded; aInitial is the first
  /// estimate and above 0.
  QuantileTracker(double aQuantile, Duration aInitial);

  void Observe(Duration aSample);
  [[nodiscard]] Duration Estimate() const;

private:
  double mQuantile;
  double mEstimate;
  double mStep = 0.5;
};

} // namespace verbenachute
