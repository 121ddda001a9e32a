#include <LibSettings/SettingTable.h>

#include <LibCore/Verify.h>

#include <string_view>

namespace verbenachute {

namespace {

constexpr const char* kAllowedName = "1 to 64 letters, digits, '-', '_' or '.'";
constexpr const char* kAllowedAddress = "IP:PORT";

constexpr SettingDescription kSettings[] = {
  { "name", "", kAllowedName, "name of this VM, unique in the fleet" },
  { "region", "", kAllowedName, "region of this VM" },
  { "failure_domain", "", kAllowedName, "failure domain of this VM" },
  { "caller_address", "", kAllowedAddress, "address that callers connect to" },
  { "peer_address",
    "",
    kAllowedAddress,
    "address that other nodes connect to" },
  { "gather_address",
    "none",
    "none, or IP:PORT",
    "address at which this node gathers shards for other nodes" },
  { "operator_address",
    "",
    kAllowedAddress,
    "address for operators and their automation" },
  { "domains",
    "none",
    "none, or DOMAIN=REGION separated by commas",
    "failure domains of the deployment and their regions" },
  { "platform",
    "",
    kAllowedAddress,
    "address of the platform's key-value service and VM list" },
  { "seeds",
    "none",
    "none, or IP:PORT separated by commas",
    "peer addresses to try when the list of VMs is not available" },
  { "address_validity_ms",
    "5000",
    "100 to 60000",
    "how long callers may keep an address answer" },
  { "ticket_validity_ms",
    "600000",
    "1000 to 3600000",
    "how long a ticket for non-idempotent requests holds" },
  { "drain_limit_ms",
    "30000",
    "100 to 600000",
    "longest wait of a graceful shutdown for work in hand" },
  { "query_limit",
    "512",
    "1 to 100000",
    "queries of this node that may run at one time" },
  { "hedge_policy",
    "adaptive",
    "adaptive, fixed or none",
    "when a second replica is asked for a shard that is slow" },
  { "extra_load_per_mille",
    "50",
    "0 to 1000",
    "hedges and retries that each thousand first attempts pay for" },
  { "dispatch",
    "holders",
    "holders or direct",
    "whether work at a target goes through its holder or straight from each "
    "node, over the platform adapter" },
  { "ready_address",
    "none",
    "none, or IP:PORT",
    "address at which the platform asks whether this node is ready" },
  { "directory_address",
    "none",
    "none, or IP:PORT",
    "address at which callers ask where to connect" },
  { "retry_ratio",
    "0.2",
    "0 to 1",
    "extra attempts at a service for each request for it, over all nodes" },
  { "retry_window_s",
    "10",
    "1 to 3600",
    "window in which extra attempts are counted" },
  { "retry_slack",
    "0",
    "0 to 1000000",
    "extra attempts at a service in each window beyond the ratio, over all "
    "nodes" },
  { "quota_window_s",
    "5",
    "1 to 3600",
    "window in which the requests of a tenant are counted" },
  { "quota_overshoot",
    "0",
    "0 to 1",
    "share of its quota by which a tenant may exceed it in a window, over all "
    "nodes" },
  { "quota_slack",
    "0",
    "0 to 1000000",
    "requests by which a tenant may exceed its quota in a window besides, over "
    "all nodes" },
  { "canary_share",
    "0.1",
    "0 to 1",
    "share of a service's requests that a bad version may get during a "
    "roll-out, over all nodes" },
  { "canary_slack",
    "0",
    "0 to 1000000",
    "requests that a bad version may get during a roll-out besides, over all "
    "nodes" },
  { "rollback_ms",
    "5000",
    "1 to 3600000",
    "time after its 50th bad response from which a bad version may get no "
    "request" },
  { "memory_mb",
    "0",
    "0 to 1000000",
    "memory that the process may take; 0: as the machine has" },
  { "descriptors",
    "0",
    "0 to 10000000",
    "descriptors that the process may open, 200 of them for files; 0: as its "
    "limit allows" },
  { "grace_s",
    "6",
    "0.5 to 3600",
    "time from SIGTERM until the process is ended by force" },
  { "processor_share",
    "1",
    "0.001 to 1000",
    "cores that this VM may use; the directory prefers strong nodes" },
  { "processor_speed",
    "1",
    "0.001 to 1000",
    "speed of a core of this VM, relative to the others' cores" },
  { "load_admission",
    "off",
    "auto, off or on",
    "whether queries are refused that the queues of the targets would make "
    "late; auto: if the targets report how long work currently takes" },
  { "gathering",
    "near",
    "near or direct",
    "whether shards that only other domains hold are gathered by a peer there "
    "or asked from this node" },
  { "partial_answers",
    "at_objective",
    "at_objective or last",
    "whether a query answers without slow shards at its latency objective, or "
    "only when they can not answer any more" },
};

} // namespace

std::span<const SettingDescription>
SettingTable()
{
  return kSettings;
}

const SettingDescription&
DescriptionOf(const char* aName)
{
  for (const SettingDescription& setting : kSettings) {
    if (std::string_view(setting.mName) == aName) {
      return setting;
    }
  }
  VERIFY(!"unknown setting");
}

} // namespace verbenachute
