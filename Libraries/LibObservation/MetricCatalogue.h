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
  PoisonObservations,
  PoisonConvictions,
  TargetHoldChanges,
  TargetResponsesTooLarge,
  QuotaRequestsSent,
  QuotaGranted,
  QuotaDenied,
  QuotaUnknown,
  RolloutReportsSent,
  RolloutStops,
  ClientsEvicted,
  RequestsOverMemory,
  AcceptPauses,
  Last = AcceptPauses,
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
  ClientMemory,
  Last = ClientMemory,
};

/// What causes bytes between failure domains.
enum class TrafficCause
{
  /// First attempts at targets, with their answers.
  FirstAttempt,
  Hedge,
  Retry,
  /// Delegations to peers, and their cancellations.
  Delegation,
  /// Reports to delegating nodes.
  Report,
  Heartbeat,
  /// Store updates fetched from peers.
  StoreUpdate,
  Last = StoreUpdate,
};

/// The value of the label "cause".
[[nodiscard]] const char*
TrafficCauseName(TrafficCause aCause);

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
inline constexpr MetricDescription kTrafficMetric = {
  "verbenachute_cross_domain_bytes_total",
  "Payload bytes between failure domains that this node has caused, by cause."
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
