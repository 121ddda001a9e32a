#include <LibObservation/MetricCatalogue.h>

#include <array>

namespace verbenachute {

namespace {

constexpr std::array<MetricDescription,
                     static_cast<std::size_t>(Counter::Last) + 1>
  kCounters = { {
    { "verbenachute_queries_received_total", "Queries that arrived." },
    { "verbenachute_queries_complete_total", "Queries answered whole." },
    { "verbenachute_queries_partial_total",
      "Queries answered without some of their shards." },
    { "verbenachute_queries_outcome_unknown_total",
      "Requests of which it is unknown whether they ran." },
    { "verbenachute_sub_queries_sent_total", "Attempts sent to holders." },
    { "verbenachute_hedges_total", "Attempts sent as hedges." },
    { "verbenachute_retries_total", "Attempts sent as retries." },
    { "verbenachute_late_answers_dropped_total",
      "Answers that matched no attempt in hand." },
    { "verbenachute_requests_replayed_total",
      "Repeats that got the outcome of their first sending." },
    { "verbenachute_requests_relayed_total",
      "Non-idempotent requests passed to the node of their ticket." },
    { "verbenachute_address_answers_total", "Address answers to callers." },
    { "verbenachute_heartbeats_sent_total", "Heartbeats sent to peers." },
    { "verbenachute_heartbeats_received_total",
      "Heartbeats received from peers." },
    { "verbenachute_store_calls_total", "Calls to the platform's store." },
    { "verbenachute_store_failures_total",
      "Calls to the platform's store that failed." },
    { "verbenachute_delegations_sent_total",
      "Orders to peers to gather shards of their failure domain." },
    { "verbenachute_delegations_taken_total",
      "Orders of peers that this node has begun to gather." },
    { "verbenachute_poison_observations_total",
      "Targets lost under requests that no target had answered, here or at a "
      "peer." },
    { "verbenachute_poison_convictions_total",
      "Requests that this node refuses because they crashed targets." },
    { "verbenachute_target_hold_changes_total",
      "Times that a target has begun or ceased to ask for fewer requests." },
    { "verbenachute_target_responses_too_large_total",
      "Responses of targets that were given up because of their size." },
    { "verbenachute_quota_requests_sent_total",
      "Requests for a token of a tenant's quota that were sent to other nodes, "
      "repeats included." },
    { "verbenachute_quota_granted_total",
      "Requests of tenants that got a token of their quota." },
    { "verbenachute_quota_denied_total",
      "Requests of tenants that were refused because their quota was used "
      "up." },
    { "verbenachute_quota_unknown_total",
      "Requests of tenants that were refused because no node that grants "
      "tokens "
      "answered, or it saw only a part of the nodes." },
    { "verbenachute_rollout_reports_sent_total",
      "Reports on roll-outs that were sent to other nodes." },
    { "verbenachute_rollout_stops_total",
      "Roll-outs in which this node stopped sending to the new version." },
    { "verbenachute_clients_evicted_total",
      "Connections of clients that were closed to free memory." },
    { "verbenachute_requests_over_memory_total",
      "Complete requests that were refused because memory was scarce." },
    { "verbenachute_accept_pauses_total",
      "Times that accepting clients was paused because of descriptors." },
  } };

constexpr std::array<MetricDescription,
                     static_cast<std::size_t>(Gauge::Last) + 1>
  kGauges = { {
    { "verbenachute_queries_in_hand_requests", "Queries that run now." },
    { "verbenachute_sub_queries_in_hand_requests",
      "Sub-queries that run now at targets held by this node." },
    { "verbenachute_once_entries_requests",
      "Non-idempotent requests remembered." },
    { "verbenachute_once_memory_bytes",
      "Memory of remembered non-idempotent requests." },
    { "verbenachute_members_alive_nodes", "Nodes that are alive." },
    { "verbenachute_members_suspect_nodes", "Nodes that are silent." },
    { "verbenachute_held_buckets", "Buckets that this node holds." },
    { "verbenachute_configuration_revision",
      "Revision of the configuration in force on this node." },
    { "verbenachute_client_memory_bytes",
      "Memory that clients cause the node to hold." },
  } };

constexpr std::array<const char*,
                     static_cast<std::size_t>(TrafficCause::Last) + 1>
  kTrafficCauses = { "first_attempt", "hedge",     "retry",       "delegation",
                     "report",        "heartbeat", "store_update" };

} // namespace

const char*
TrafficCauseName(TrafficCause aCause)
{
  return kTrafficCauses[static_cast<std::size_t>(aCause)];
}

const MetricDescription&
DescriptionOf(Counter aCounter)
{
  return kCounters[static_cast<std::size_t>(aCounter)];
}

const MetricDescription&
DescriptionOf(Gauge aGauge)
{
  return kGauges[static_cast<std::size_t>(aGauge)];
}

} // namespace verbenachute
