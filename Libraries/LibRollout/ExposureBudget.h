#pragma once

#include <LibRollout/RolloutRule.h>

namespace verbenachute {

/// Divides what a version may get until the deadline between the canary phase
/// and the time from the switch to the deadline, in which it gets everything.
class ExposureBudget
{
public:
  /// aRatePerSecond are the requests to the service over all nodes.
  ExposureBudget(const RolloutRule& aRule,
                 Duration aDuration,
                 double aRatePerSecond);

  /// Requests for the new version in the whole canary phase.
  [[nodiscard]] double Canary() const;
  /// Share of the requests that uses up the remainder of Canary() until the
  /// switch. aSent went to the new version before; aElapsed is the time since
  /// the order.
  [[nodiscard]] double CanaryShare(double aSent, Duration aElapsed) const;
  /// Time before the deadline at which the switch is to take place.
  [[nodiscard]] Duration SwitchWindow() const;

  /// Share that stays within the rule at any rate, for nodes that do not know
  /// the rate.
  [[nodiscard]] static double ShareAtUnknownRate(const RolloutRule& aRule);

private:
  [[nodiscard]] double Total() const;

  RolloutRule mRule;
  double mSeconds;
  double mRate;
};

} // namespace verbenachute
