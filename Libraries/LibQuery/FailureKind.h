#pragma once

#include <LibCore/SubAnswer.h>

namespace verbenachute {

/// What a failed attempt means for the rest of its query.
enum class FailureKind
{
  /// The holder was not reached or is another node by now; the same target
  /// may be tried again.
  Misrouted,
  /// The target or its holder had no room.
  Overloaded,
  /// The target does not hold the pinned version or shard any more.
  VersionGone,
  /// The target takes no new work, or not of this caller.
  TargetClosed,
  /// The target failed while it ran the query and went on living.
  Failed,
  /// The target was lost while it may have run the query.
  CrashLike,
  /// The fleet knows the query as one that crashes targets.
  Poisoned,
  /// Time ran out; another attempt would have no more of it.
  OutOfTime,
  /// The query itself was refused; every replica would refuse it.
  Rejected,
};

/// Sorts a failure by its code, its step and its execution. A connection to
/// another node that breaks (step Route) is never a crash of the target.
[[nodiscard]] FailureKind
FailureKindOf(const SubFailure& aFailure);

} // namespace verbenachute
