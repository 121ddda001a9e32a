#pragma once

#include <LibRollout/RolloutCounts.h>

namespace verbenachute {

enum class RolloutVerdict
{
  NotEnough,
  Good,
  Bad,
};

/// Judges the new version against the old one over the same period. A version
/// is bad if on any route, or over all routes, clearly more of its responses
/// fail or are slow than of the old one's. It is good only if there are enough
/// responses on every route in use.
[[nodiscard]] RolloutVerdict
JudgeRollout(const RolloutCounts& aCounts);

} // namespace verbenachute
