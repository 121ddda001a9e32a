#pragma once

#include <LibForward/ForwardAction.h>
#include <LibObservation/MetricsRegistry.h>

namespace verbenachute {

/// Counts the outcome and the extra attempts of a request, and records its
/// latency by route and by caller.
void
CountOutcome(const AnswerAction& aAction,
             const CallerId& aCaller,
             MetricsRegistry* aMetrics);

} // namespace verbenachute
