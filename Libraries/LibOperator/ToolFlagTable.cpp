#include <LibOperator/ToolFlagTable.h>

namespace verbenachute {

namespace {

constexpr ToolFlag kFlags[] = {
  { "node", "", "operator port of a node, as IP:PORT" },
  { "operator", "", "who makes a change" },
  { "operation_id",
    "",
    "name of the operation, kept over repeats; drawn if not given" },
  { "output", "text", "text or json" },
  { "dry_run", "false", "true: show what a change would do, and do nothing" },
  { "override",
    "false",
    "true: change even if a service is left with no target" },
  { "timeout_ms", "15000", "longest wait for an answer, 1 to 3600000" },
  { "platform", "", "bootstrap: the platform's service, as IP:PORT" },
  { "file", "", "bootstrap and policy set: the JSON file" },
  { "service", "", "target register, targets: the service" },
  { "address", "", "target register: the target's IP:PORT" },
  { "domain", "", "target register: the failure domain" },
  { "slots", "", "target register: sub-queries at one time" },
  { "connections", "", "target register: connections in all" },
  { "caller", "", "query, explain: who asks" },
  { "class", "", "query, histogram: the caller's class" },
  { "callers", "", "selector set: the callers to serve, joined by commas" },
  { "caller_address",
    "",
    "query, histogram: caller port of any node, as IP:PORT" },
  { "request_id", "", "query: identity of the request; drawn if not given" },
  { "deadline_ms", "1000", "query: the deadline" },
  { "limit", "20", "query, history: largest number of results" },
  { "idempotent",
    "true",
    "query: false for a request that must run at most once" },
  { "ticket", "", "query: the ticket of the first sending" },
  { "updates", "0", "watch: end after so many updates, 0 for never" },
};

} // namespace

std::span<const ToolFlag>
ToolFlagTable()
{
  return kFlags;
}

} // namespace verbenachute
