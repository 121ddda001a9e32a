#include <LibGather/TransitDelayEstimator.h>

#include <algorithm>

namespace verbenachute {

Duration
TransitDelayEstimator::ExcessDelay(Duration aSentTime, Instant aNow)
{
  if (!mWindowStart.has_value() || aNow - *mWindowStart >= kWindow) {
    mWindowStart = aNow;
    mMinDifferences = { std::nullopt, mMinDifferences[0] };
  }
  const Duration difference = aNow.time_since_epoch() - aSentTime;
  mMinDifferences[0] =
    std::min(mMinDifferences[0].value_or(difference), difference);
  const Duration minimum = std::min(
    *mMinDifferences[0], mMinDifferences[1].value_or(*mMinDifferences[0]));
  return difference - minimum;
}

} // namespace verbenachute
