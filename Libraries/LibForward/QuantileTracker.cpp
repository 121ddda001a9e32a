#include <LibForward/QuantileTracker.h>

#include <algorithm>

namespace verbenachute {

namespace {

// The step is relative to the estimate. It starts large, so that the first
// samples find the order of magnitude, and decays to its minimum.
constexpr double kMinStep = 0.04;
constexpr double kStepDecay = 0.93;

} // namespace

QuantileTracker::QuantileTracker(double aQuantile, Duration aInitial)
  : mQuantile(aQuantile)
  , mEstimate(static_cast<double>(aInitial.count()))
{
}

void
QuantileTracker::Observe(Duration aSample)
{
  const double sample = static_cast<double>(aSample.count());
  const double direction = sample > mEstimate ? mQuantile : mQuantile - 1;
  mEstimate = std::max(1.0, mEstimate * (1 + mStep * direction));
  mStep = std::max(kMinStep, mStep * kStepDecay);
}

Duration
QuantileTracker::Estimate() const
{
  return Duration(static_cast<Duration::rep>(mEstimate));
}

} // namespace verbenachute
