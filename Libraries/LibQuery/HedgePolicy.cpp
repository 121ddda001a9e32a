#include <LibQuery/HedgePolicy.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>
#include <cstddef>

namespace verbenachute {

HedgePolicy::HedgePolicy(HedgeSettings aSettings)
  : mSettings(aSettings)
  , mRule(RuleOf(aSettings.mMode))
{
  // A delay of nothing would hedge again and again at the same instant.
  VERIFY(mSettings.mMinimumDelay > Duration(0));
}

std::optional<Duration>
HedgePolicy::Delay(const LatencyEstimator& aLatency) const
{
  return (this->*mRule)(aLatency);
}

HedgePolicy::Rule
HedgePolicy::RuleOf(HedgeMode aMode)
{
  static constexpr std::array<Rule, 3> kRules = {
    &HedgePolicy::Never,
    &HedgePolicy::AfterFixedDelay,
    &HedgePolicy::AfterQuantile,
  };
  return kRules.at(static_cast<std::size_t>(aMode));
}

std::optional<Duration>
HedgePolicy::Never(const LatencyEstimator& /*aLatency*/) const
{
  return std::nullopt;
}

std::optional<Duration>
HedgePolicy::AfterFixedDelay(const LatencyEstimator& /*aLatency*/) const
{
  return std::max(mSettings.mFixedDelay, mSettings.mMinimumDelay);
}

std::optional<Duration>
HedgePolicy::AfterQuantile(const LatencyEstimator& aLatency) const
{
  const std::optional<Duration> quantile = aLatency.Quantile();
  if (!quantile.has_value()) {
    return std::nullopt;
  }
  return std::max(*quantile, mSettings.mMinimumDelay);
}

} // namespace verbenachute
