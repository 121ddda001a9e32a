#include <LibDispatch/ColdStartRamp.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Answers for each unit of the limit before it doubles.
constexpr std::uint32_t kSuccessesPerUnit = 4;
/// A target that has been idle for this long counts as cold.
constexpr Duration kIdleBeforeCold = seconds(30);

} // namespace

void
ColdStartRamp::Reset(Instant aNow)
{
  mWarmth = Warmth::Cold;
  mLimit = 1;
  mSuccesses = 0;
  mChanged = aNow;
  mLastAnswer = aNow;
}

void
ColdStartRamp::OnSuccess(Instant aSent, Instant aNow, std::uint32_t aFull)
{
  mLastAnswer = aNow;
  if (aSent < mChanged || IsFull(aFull)) {
    return;
  }
  ++mSuccesses;
  if (mSuccesses >= mLimit * kSuccessesPerUnit) {
    mLimit = std::min(mLimit * 2, aFull);
    if (IsFull(aFull)) {
      mWarmth = Warmth::Warm;
    }
    mSuccesses = 0;
    mChanged = aNow;
  }
}

void
ColdStartRamp::OnStrain(Instant aSent, Instant aNow)
{
  mLastAnswer = aNow;
  mSuccesses = 0;
  if (aSent < mChanged) {
    return;
  }
  if (mLimit == 1) {
    mWarmth = Warmth::Cold;
  }
  mLimit = std::max<std::uint32_t>(mLimit / 2, 1);
  mChanged = aNow;
}

void
ColdStartRamp::OnDispatch(Instant aNow)
{
  if (aNow >= mLastAnswer + kIdleBeforeCold) {
    Reset(aNow);
  }
}

std::uint32_t
ColdStartRamp::Limit(std::uint32_t aFull) const
{
  return std::min(mLimit, std::max<std::uint32_t>(aFull, 1));
}

bool
ColdStartRamp::IsFull(std::uint32_t aFull) const
{
  return mLimit >= aFull;
}

Warmth
ColdStartRamp::WarmthAt(std::uint32_t aFull) const
{
  return IsFull(aFull) ? Warmth::Warm : mWarmth;
}

} // namespace verbenachute
