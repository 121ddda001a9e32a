#include <LibGather/TransitClock.h>

#include <algorithm>

namespace verbenachute {

Duration
TransitClock::Waited(Duration aSent, Instant aNow)
{
  if (!mWindowBegan.has_value() || aNow - *mWindowBegan >= kWindow) {
    mWindowBegan = aNow;
    mLeast = { std::nullopt, mLeast[0] };
  }
  const Duration difference = aNow.time_since_epoch() - aSent;
  mLeast[0] = std::min(mLeast[0].value_or(difference), difference);
  const Duration least = std::min(*mLeast[0], mLeast[1].value_or(*mLeast[0]));
  return difference - least;
}

} // namespace verbenachute
