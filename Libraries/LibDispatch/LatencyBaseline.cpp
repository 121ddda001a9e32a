#include <LibDispatch/LatencyBaseline.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// An answer is slow when it takes this many times the usual.
constexpr int kSlowFactor = 4;
/// Answers below this are never slow, whatever is usual.
constexpr Duration kSlowFloor = milliseconds(5);
/// Share of the way that the usual goes towards a faster answer and towards a
/// slower one.
constexpr int kFallDivisor = 4;
constexpr int kRiseDivisor = 64;

} // namespace

Pace
LatencyBaseline::Judge(Duration aService)
{
  if (!mUsual) {
    mUsual = aService;
    return Pace::Normal;
  }
  const Pace pace = PaceOf(aService);
  const Duration distance = std::min(aService, SlowLimit()) - *mUsual;
  const int divisor = distance.count() < 0 ? kFallDivisor : kRiseDivisor;
  *mUsual += distance / divisor;
  return pace;
}

Pace
LatencyBaseline::PaceOf(Duration aService) const
{
  return mUsual && aService > SlowLimit() ? Pace::Slow : Pace::Normal;
}

Duration
LatencyBaseline::SlowLimit() const
{
  return std::max(*mUsual * kSlowFactor, kSlowFloor);
}

} // namespace verbenachute
