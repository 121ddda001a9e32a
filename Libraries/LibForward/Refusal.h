#pragma once

namespace verbenachute {

/// Why a request was refused without having run.
enum class RefusalReason
{
  /// This node has no plan yet, or not the requested version.
  NoPlan,
  /// Too few shards have a target that can take work, or the service has none.
  NoTarget,
  /// All targets are busy, or this node runs too many requests.
  Overloaded,
  /// All attempts were declined and no further attempt is allowed.
  Declined,
  /// Requests like this one have crashed the targets that ran them.
  Poisonous,
  /// The deadline of the caller passed before the request could be sent.
  TooLate,
  /// Too few shards have a target that takes a request now: the rates of the
  /// others are used up, or they have asked for a pause.
  TargetsHeld,
  /// This node is about to end, and the request might not have ended by then.
  Leaving,
  /// The tenant has used up its quota.
  OverQuota,
  /// No node that can grant the tenant a request has responded.
  QuotaUnknown,
  /// The plan has no such API key, but a newer plan may have it.
  KeyUndecided,
};

/// The name that is used in logs, such as "no_target".
[[nodiscard]] const char*
RefusalReasonName(RefusalReason aReason);

} // namespace verbenachute
