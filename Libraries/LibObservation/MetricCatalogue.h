#pragma once

#include <span>

namespace verbenachute {

/// Counters without labels; their values only increase.
enum class Counter
{
  QueriesReceived,
  QueriesComplete,
  QueriesPartial,
  QueriesOutcomeUnknown,
  SubQueriesSent,
  Hedges,
  Retries,
  LateAnswersDropped,
  RequestsReplayed,
  RequestsRelayed,
  AddressAnswers,
  HeartbeatsSent,
  HeartbeatsReceived,
  StoreCalls,
  StoreFailures,
  DelegationsSent,
  DelegationsTaken,
  Last = DelegationsTaken,
};

/// Gauges without labels; their values increase and decrease.
enum class Gauge
{
  QueriesInFlight,
  SubQueriesInFlight,
  OnceEntries,
  OnceBytes,
  MembersAlive,
  MembersSuspect,
  BucketsHeld,
  ConfigurationRevision,
  Last = ConfigurationRevision,
};

/// One row of docs/METRICS.md. The name ends in the unit of the value.
struct MetricDescription
{
  const char* mName;
  const char* mHelp;
};

[[nodiscard]] const MetricDescription&
DescriptionOf(Counter aCounter);
[[nodiscard]] const MetricDescription&
DescriptionOf(Gauge aGauge);

/// Metrics with labels: steps, refusals and latencies.
inline constexpr MetricDescription kStepMetric = {
  "verbenachute_step_requests_total",
  "Requests that reached a step."
};
inline constexpr MetricDescription kRefusalMetric = {
  "verbenachute_refused_requests_total",
  "Requests refused, by step, error code and what is known of execution."
};
inline constexpr MetricDescription kClassLatencyMetric = {
  "verbenachute_class_latency_seconds",
  "Time from the arrival of a query to its answer, by caller class."
};
inline constexpr MetricDescription kCallerLatencyMetric = {
  "verbenachute_caller_latency_seconds",
  "Time from the arrival of a query to its answer, by caller; callers beyond "
  "the limit count as 'other'."
};

} // namespace verbenachute
