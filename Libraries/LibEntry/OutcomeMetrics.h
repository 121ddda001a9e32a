#pragma once

#include <LibForward/ForwardAction.h>
#include <LibObservation/MetricsRegistry.h>

namespace verbenachute {

/// Counts how a request ended: its outcome, its extra attempts, and the time
/// that it took by route and by caller.
void
CountOutcome(const AnswerAction& aAction,
             const CallerId& aCaller,
             MetricsRegistry* aMetrics);

} // namespace verbenachute
