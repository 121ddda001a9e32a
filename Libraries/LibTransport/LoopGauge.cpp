#include <LibTransport/LoopGauge.h>

namespace verbenachute {

void
LoopGauge::OnTurnEnd(Instant aNow)
{
  if (mBegan.has_value()) {
    mBeganBefore = mBegan;
  }
  mBegan.reset();
  mEndedBefore = aNow;
}

void
LoopGauge::OnWork(Instant aNow)
{
  if (!mBegan.has_value()) {
    mBegan = aNow;
  }
}

Duration
LoopGauge::MaximumReadDelay(Instant aNow) const
{
  const Instant began = mBegan.value_or(aNow);
  if (!mBeganBefore.has_value()) {
    return aNow - began;
  }
  const Duration rest = began - mEndedBefore;
  if (rest > kLongestRest) {
    return aNow - mEndedBefore;
  }
  return aNow - (rest > kNoRest ? began : *mBeganBefore);
}

} // namespace verbenachute
