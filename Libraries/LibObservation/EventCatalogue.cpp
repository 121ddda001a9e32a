#include <LibObservation/EventCatalogue.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <array>

namespace verbenachute {

namespace {

using enum EventNumber;
using enum Severity;

constexpr std::array kCatalogue = {
  EventDescription{ DaemonStarted,
                    "daemon_started",
                    Info,
                    "The daemon serves its ports." },
  EventDescription{ SettingsRefused,
                    "settings_refused",
                    Error,
                    "A flag or variable is invalid; the daemon ends." },
  EventDescription{ ListenFailed,
                    "listen_failed",
                    Error,
                    "A port cannot be bound; the daemon ends." },
  EventDescription{ EventsSuppressed,
                    "events_suppressed",
                    Info,
                    "Repeats of an event were counted and not written." },
  EventDescription{ ProcessPaused,
                    "process_paused",
                    Warning,
                    "The process did not run for a while; leases and "
                    "heartbeats are checked before new work." },
  EventDescription{ MemberJoined,
                    "member_joined",
                    Info,
                    "A node was heard for the first time." },
  EventDescription{ MemberSuspected,
                    "member_suspected",
                    Warning,
                    "A node is silent and is no longer offered to callers." },
  EventDescription{ MemberRefuted,
                    "member_refuted",
                    Info,
                    "A suspected node was heard again." },
  EventDescription{ MemberDied,
                    "member_died",
                    Warning,
                    "A suspected node stayed silent and counts as dead." },
  EventDescription{ MemberLeaving,
                    "member_leaving",
                    Info,
                    "A node announced that it leaves." },
  EventDescription{ MemberReplaced,
                    "member_replaced",
                    Info,
                    "A later life of a node took the place of an earlier." },
  EventDescription{ VmListUnavailable,
                    "vm_list_unavailable",
                    Warning,
                    "The platform's VM list cannot be read; the last one "
                    "and the heartbeats stand." },
  EventDescription{ VmListRestored,
                    "vm_list_restored",
                    Info,
                    "The platform's VM list can be read again." },
  EventDescription{ LeaseAcquired,
                    "lease_acquired",
                    Info,
                    "This node became the holder of a bucket." },
  EventDescription{ LeaseLost,
                    "lease_lost",
                    Warning,
                    "The lease on a bucket lapsed without a hand-over." },
  EventDescription{ LeaseReleased,
                    "lease_released",
                    Info,
                    "The lease on a bucket was handed over." },
  EventDescription{ RosterChanged,
                    "roster_changed",
                    Info,
                    "The set of voters changed." },
  EventDescription{ ConfigurationApplied,
                    "configuration_applied",
                    Info,
                    "A newer revision of the configuration is in force." },
  EventDescription{ ConfigurationStale,
                    "configuration_stale",
                    Warning,
                    "This node can not confirm its configuration and "
                    "dispatches no new work." },
  EventDescription{ StoreUnavailable,
                    "store_unavailable",
                    Warning,
                    "The platform's store does not answer." },
  EventDescription{ StoreRestored,
                    "store_restored",
                    Info,
                    "The platform's store answers again." },
  EventDescription{ ChangeAccepted,
                    "change_accepted",
                    Info,
                    "An operator's change was accepted." },
  EventDescription{ ChangeRefused,
                    "change_refused",
                    Info,
                    "An operator's change was refused; nothing changed." },
  EventDescription{ ChangeProposed,
                    "change_proposed",
                    Info,
                    "An operator's change waits for approval." },
  EventDescription{ PlanApplied,
                    "plan_applied",
                    Info,
                    "A newer version of the routes and services is in force." },
  EventDescription{ PlanIgnored,
                    "plan_ignored",
                    Info,
                    "A plan that is not newer was not taken over." },
  EventDescription{ EntryUnreadable,
                    "entry_unreadable",
                    Warning,
                    "An entry of the store cannot be read and is skipped." },
  EventDescription{ DomainTakenOut,
                    "domain_taken_out",
                    Info,
                    "A failure domain gets no new work." },
  EventDescription{ DomainBroughtIn,
                    "domain_brought_in",
                    Info,
                    "A failure domain may get work again." },
  EventDescription{ SettingsReloaded,
                    "settings_reloaded",
                    Info,
                    "The settings file has changed and was read again." },
  EventDescription{ StoreEraRaised,
                    "store_era_raised",
                    Warning,
                    "The platform's store was restored from an older copy; all "
                    "keys are read again." },
  EventDescription{ StoreEraUnreadable,
                    "store_era_unreadable",
                    Warning,
                    "A response of the store has an unreadable era and counts "
                    "as of the one known." },
  EventDescription{ EvacuationRetained,
                    "evacuation_retained",
                    Warning,
                    "The restored store lacks the key that takes a failure "
                    "domain out; the domain stays out for a while." },
  EventDescription{ PlanFromPeer,
                    "plan_from_peer",
                    Info,
                    "The restored store has an older plan than a node that "
                    "serves; that node's plan was fetched." },
  EventDescription{ ConfigurationRewritten,
                    "configuration_rewritten",
                    Info,
                    "The operators' configuration in force was written again "
                    "to the restored store." },
  EventDescription{ StoreCallRepeated,
                    "store_call_repeated",
                    Info,
                    "A call to the platform's store had no result and is "
                    "repeated; the store counts as available." },
  EventDescription{ QueryRefused,
                    "query_refused",
                    Info,
                    "A query was refused before it ran." },
  EventDescription{ QueryPartial,
                    "query_partial",
                    Info,
                    "A query was answered without some of its shards." },
  EventDescription{ EventNumber::OutcomeUnknown,
                    "outcome_unknown",
                    Warning,
                    "It is unknown whether a request ran; it is not run "
                    "again." },
  EventDescription{ CallerHungUp,
                    "caller_hung_up",
                    Debug,
                    "A caller closed its connection before the answer." },
  EventDescription{ CallerInputRefused,
                    "caller_input_refused",
                    Info,
                    "A malformed or oversized request was refused." },
  EventDescription{ RequestFailed,
                    "request_failed",
                    Warning,
                    "A request that was sent got no answer." },
  EventDescription{ RequestLate,
                    "request_late",
                    Info,
                    "A request was answered after its latency objective." },
  EventDescription{ ClientEvicted,
                    "client_evicted",
                    Warning,
                    "A client's connection was closed to free memory." },
  EventDescription{ AcceptingPaused,
                    "accepting_paused",
                    Warning,
                    "No client is accepted until others have left." },
  EventDescription{ TargetWarming,
                    "target_warming",
                    Info,
                    "A target is in cold start and gets ramped load." },
  EventDescription{ TargetReady,
                    "target_ready",
                    Info,
                    "A target takes its full load." },
  EventDescription{ TargetDraining,
                    "target_draining",
                    Info,
                    "A target takes no new work." },
  EventDescription{ TargetDown,
                    "target_down",
                    Warning,
                    "A target fails or does not answer." },
  EventDescription{ RequestPoisoned,
                    "request_poisoned",
                    Error,
                    "A request crashed targets and is refused from now on." },
  EventDescription{ LoadShed,
                    "load_shed",
                    Warning,
                    "Requests of a class are refused because of overload." },
  EventDescription{ TargetGone,
                    "target_gone",
                    Info,
                    "A target is not listed any more." },
  EventDescription{ TargetLostUnderRequest,
                    "target_lost_under_request",
                    Info,
                    "The connection to a target broke under a request that no "
                    "target has answered." },
  EventDescription{ TargetFieldUnreadable,
                    "target_field_unreadable",
                    Warning,
                    "A header field of a target's response was ignored." },
  EventDescription{ TargetHoldChanged,
                    "target_hold_changed",
                    Info,
                    "A target has begun or ceased to ask for fewer requests." },
  EventDescription{ TargetResponseTooLarge,
                    "target_response_too_large",
                    Warning,
                    "A target's response was given up because of its size, or "
                    "as the largest one when all together took too much "
                    "memory." },
  EventDescription{ RolloutOrdered,
                    "rollout_ordered",
                    Info,
                    "An operator has ordered a service to move to another "
                    "version, or has removed the order." },
  EventDescription{ RolloutPhaseChanged,
                    "rollout_phase_changed",
                    Info,
                    "The node acts on another phase of a roll-out." },
  EventDescription{ RolloutStopped,
                    "rollout_stopped",
                    Warning,
                    "The node sends nothing more to the new version of a "
                    "service." },
  EventDescription{ RolloutWriteFailed,
                    "rollout_write_failed",
                    Warning,
                    "The phase of a roll-out could not be written, or another "
                    "node wrote before." },
  EventDescription{ RequestReplayed,
                    "request_replayed",
                    Info,
                    "A repeat of a non-idempotent request got the outcome "
                    "of its first sending." },
  EventDescription{ RequestConflict,
                    "request_conflict",
                    Warning,
                    "A request id was used again with another body; the "
                    "second one was not run." },
  EventDescription{ OnceTableFull,
                    "once_table_full",
                    Error,
                    "No further non-idempotent request can be remembered, "
                    "so new ones are refused." },
  EventDescription{ TicketUnknown,
                    "ticket_unknown",
                    Info,
                    "The ticket of a non-idempotent request is missing or "
                    "names a life of a node that is gone." },
  EventDescription{ PeerConnected,
                    "peer_connected",
                    Info,
                    "The link to a node stands." },
  EventDescription{ PeerLost,
                    "peer_lost",
                    Warning,
                    "The link to a node broke." },
  EventDescription{ PeerMessageRefused,
                    "peer_message_refused",
                    Warning,
                    "A message of a node is malformed; the link is closed." },
  EventDescription{ ShutdownStarted,
                    "shutdown_started",
                    Info,
                    "A graceful shutdown has begun." },
  EventDescription{ ShutdownPhase,
                    "shutdown_phase",
                    Info,
                    "The graceful shutdown entered its next phase." },
  EventDescription{ ShutdownGaveUp,
                    "shutdown_gave_up",
                    Warning,
                    "The shutdown ended with work or leases given up; the "
                    "fields list them." },
  EventDescription{ ShutdownFinished,
                    "shutdown_finished",
                    Info,
                    "The daemon ends." },
};

} // namespace

std::span<const EventDescription>
EventCatalogue()
{
  return kCatalogue;
}

const EventDescription&
DescriptionOf(EventNumber aNumber)
{
  const auto found = std::ranges::lower_bound(
    kCatalogue, aNumber, {}, &EventDescription::mNumber);
  VERIFY(found != kCatalogue.end() && found->mNumber == aNumber);
  return *found;
}

const char*
SeverityName(Severity aSeverity)
{
  switch (aSeverity) {
    case Debug:
      return "debug";
    case Info:
      return "info";
    case Warning:
      return "warning";
    case Severity::Error:
      return "error";
  }
  VERIFY(!"unknown severity");
}

std::optional<Severity>
SeverityNamed(std::string_view aName)
{
  for (const Severity severity : { Debug, Info, Warning, Severity::Error }) {
    if (aName == SeverityName(severity)) {
      return severity;
    }
  }
  return std::nullopt;
}

} // namespace verbenachute
