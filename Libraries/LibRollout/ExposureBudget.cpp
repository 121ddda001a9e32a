#include <LibRollout/ExposureBudget.h>

#include <algorithm>

namespace verbenachute {

namespace {

// The remainder covers rates that change, nodes that learn of the order late
// and requests that are counted late.
constexpr double kUsedPart = 0.8;
constexpr double kCanaryPart = 0.4;
// A longer window gains nothing: the phases need below one second.
constexpr double kMaximumWindowSeconds = 2;
constexpr double kMaximumShare = 0.25;
// Keeps the share from rising steeply just before the switch.
constexpr double kMinimumSeconds = 1;
// Below this rate the estimate is not reliable.
constexpr double kMinimumRate = 0.5;

} // namespace

ExposureBudget::ExposureBudget(const RolloutRule& aRule,
                               Duration aDuration,
                               double aRatePerSecond)
  : mRule(aRule)
  , mSeconds(std::chrono::duration<double>(aDuration).count())
  , mRate(std::max(kMinimumRate, aRatePerSecond))
{
}

double
ExposureBudget::Total() const
{
  return kUsedPart * (mRule.mShare * mRate * mSeconds + mRule.mSlack);
}

double
ExposureBudget::Canary() const
{
  return kCanaryPart * Total();
}

double
ExposureBudget::CanaryShare(double aSent, Duration aElapsed) const
{
  const std::chrono::duration<double> passed = aElapsed + SwitchWindow();
  const double left = std::max(kMinimumSeconds, mSeconds - passed.count());
  return std::clamp((Canary() - aSent) / (mRate * left), 0.0, kMaximumShare);
}

Duration
ExposureBudget::SwitchWindow() const
{
  const double window =
    std::min(kMaximumWindowSeconds, (1 - kCanaryPart) * Total() / mRate);
  return std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(window));
}

double
ExposureBudget::ShareAtUnknownRate(const RolloutRule& aRule)
{
  return kUsedPart * kCanaryPart * aRule.mShare;
}

} // namespace verbenachute
