#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// Follows one quantile of a stream of durations in constant memory: each
/// sample moves the estimate up or down by a step in the proportion of the
/// quantile, so that the estimate settles where the samples balance.
class QuantileTracker
{
public:
  /// aQuantile is above 0 and below 1; aInitial is above zero.
  QuantileTracker(double aQuantile, Duration aInitial);

  void Observe(Duration aSample);
  [[nodiscard]] Duration Estimate() const;

private:
  double mQuantile;
  double mEstimate;
  double mGain = 0.5;
};

} // namespace verbenachute
