#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

// Delays before a refused caller may retry, by the event that the retry needs.

/// This node receives a plan from a peer or from the store.
inline constexpr Duration kRetryAfterNoPlan = milliseconds(500);
/// A target starts, or an unavailable target is tried again.
inline constexpr Duration kRetryAfterNoTarget = milliseconds(250);
/// Some of the running requests of this node end.
inline constexpr Duration kRetryAfterOverload = milliseconds(40);
/// The queues of the targets become shorter.
inline constexpr Duration kRetryAfterDeclined = milliseconds(60);
/// A plan is received that has the API key, or confirms that there is none.
inline constexpr Duration kRetryAfterKeyUndecided = milliseconds(300);
/// The recorded observations of a request that crashes targets expire.
inline constexpr Duration kRetryAfterPoison = seconds(30);

} // namespace verbenachute
