#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// When a caller that was refused may come back, by what it waits for.

/// A peer's copy of the plan, or the store's.
inline constexpr Duration kRetryAfterNoPlan = milliseconds(500);
/// A target that starts, or the trial of one that was down.
inline constexpr Duration kRetryAfterNoTarget = milliseconds(250);
/// Some of this node's requests to end.
inline constexpr Duration kRetryAfterOverload = milliseconds(40);
/// The queues of the targets to shrink.
inline constexpr Duration kRetryAfterDeclined = milliseconds(60);
/// The strikes of a request that crashes targets to be forgotten.
inline constexpr Duration kRetryAfterPoison = seconds(30);

} // namespace verbenachute
