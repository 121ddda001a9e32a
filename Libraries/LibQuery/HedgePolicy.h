#pragma once

#include <LibCore/Time.h>
#include <LibQuery/LatencyEstimator.h>

#include <optional>

namespace verbenachute {

/// After what time a sub-query without an answer is sent a second time.
enum class HedgeMode
{
  /// Never.
  None,
  /// After a fixed delay.
  Fixed,
  /// After the observed quantile of the service's latency.
  Adaptive,
};

struct HedgeSettings
{
  HedgeMode mMode = HedgeMode::Adaptive;
  Duration mFixedDelay = milliseconds(20);
  /// No delay is shorter, so that the jitter of the network alone causes no
  /// hedges. Above zero.
  Duration mMinimumDelay = milliseconds(2);
};

/// Decides how long to wait for a replica before another one is asked too.
class HedgePolicy
{
public:
  explicit HedgePolicy(HedgeSettings aSettings);

  /// The time to wait from the sending of an attempt, or nothing if it is not
  /// to be hedged.
  [[nodiscard]] std::optional<Duration> Delay(
    const LatencyEstimator& aLatency) const;

private:
  using Rule =
    std::optional<Duration> (HedgePolicy::*)(const LatencyEstimator&) const;

  [[nodiscard]] static Rule RuleOf(HedgeMode aMode);
  [[nodiscard]] std::optional<Duration> Never(
    const LatencyEstimator& aLatency) const;
  [[nodiscard]] std::optional<Duration> AfterFixedDelay(
    const LatencyEstimator& aLatency) const;
  [[nodiscard]] std::optional<Duration> AfterQuantile(
    const LatencyEstimator& aLatency) const;

  HedgeSettings mSettings;
  Rule mRule;
};

} // namespace verbenachute
