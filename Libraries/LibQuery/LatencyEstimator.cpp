#include <LibQuery/LatencyEstimator.h>

#include <LibCore/Verify.h>

#include <cstddef>

namespace verbenachute {

namespace {

namespace accumulators = boost::accumulators;

/// Latencies before which a window says nothing of its tail.
constexpr std::size_t kMinimumSamples = 100;
/// A window ends at this age or size, whichever comes first.
constexpr seconds kWindowAge{ 10 };
constexpr std::size_t kWindowSamples = 5000;

} // namespace

LatencyEstimator::LatencyEstimator(double aQuantile)
  : mQuantile(aQuantile)
  , mCurrent(NewWindow())
{
  VERIFY(aQuantile > 0 && aQuantile < 1);
}

void
LatencyEstimator::Observe(Duration aLatency, Instant aNow)
{
  const std::size_t samples = accumulators::count(mCurrent);
  const bool isOver =
    samples >= kWindowSamples || (samples >= kMinimumSamples &&
                                  aNow - mCurrentSince >= Duration(kWindowAge));
  if (isOver) {
    mPrevious = Duration(
      static_cast<Duration::rep>(accumulators::p_square_quantile(mCurrent)));
    mCurrent = NewWindow();
  }
  if (isOver || samples == 0) {
    mCurrentSince = aNow;
  }
  mCurrent(static_cast<double>(aLatency.count()));
}

void
LatencyEstimator::ObserveAtLeast(Duration aBound, Instant aNow)
{
  const std::optional<Duration> quantile = Quantile();
  if (quantile.has_value() && aBound > *quantile) {
    Observe(aBound, aNow);
  }
}

std::optional<Duration>
LatencyEstimator::Quantile() const
{
  if (mPrevious.has_value()) {
    return mPrevious;
  }
  if (accumulators::count(mCurrent) < kMinimumSamples) {
    return std::nullopt;
  }
  return Duration(
    static_cast<Duration::rep>(accumulators::p_square_quantile(mCurrent)));
}

LatencyEstimator::Window
LatencyEstimator::NewWindow() const
{
  return Window(accumulators::quantile_probability = mQuantile);
}

} // namespace verbenachute
