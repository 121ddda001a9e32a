#pragma once

#include <LibCore/Error.h>

namespace verbenachute {

/// Exit status of the tool; docs/OPERATORS.md lists them. 1 is left to the
/// flags library, which ends the process with it at an unknown flag.
enum class ExitStatus
{
  Done = 0,
  BadInput = 2,
  NotFound = 3,
  /// The operator needs approval, or may not approve.
  Forbidden = 4,
  /// A race, a reused operation id, or coverage that would be lost.
  Conflict = 5,
  /// The change may or may not be in force; repeat it with its operation id.
  OutcomeUnknown = 6,
  /// The node or the store can't be reached or does not answer.
  Unavailable = 7,
  Internal = 8,
  /// `status` found nodes that lag, or `query` got a partial answer.
  Incomplete = 9,
};

[[nodiscard]] ExitStatus
ExitStatusOf(ErrorCode aCode);

} // namespace verbenachute
