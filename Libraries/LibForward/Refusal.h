#pragma once

namespace verbenachute {

/// Why a request was not sent to any target.
enum class RefusalReason
{
  /// This node knows no plan yet, or not the one that is asked for.
  NoPlan,
  /// Too few of the shards, or no target of the service, can take work.
  NoTarget,
  /// All targets are busy, or this node is.
  Overloaded,
  /// The targets declined and no further attempt is allowed.
  Declined,
  /// Requests like this one have crashed the targets that ran them.
  Poisonous,
  /// The caller's time was up before the request could be sent.
  TooLate,
};

/// The name as it stands in logs, such as "no_target".
[[nodiscard]] const char*
RefusalReasonName(RefusalReason aReason);

} // namespace verbenachute
