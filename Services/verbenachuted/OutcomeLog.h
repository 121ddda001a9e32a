#pragma once

#include <LibForward/ForwardAction.h>
#include <LibObservation/Logger.h>

namespace verbenachute {

/// Logs the outcome of a request that was refused, failed, late or without all
/// parts, with what decided it. Whole answers in time are not logged.
void
LogOutcome(const AnswerAction& aAction,
           const RequestId& aRequest,
           Logger* aLogger);

} // namespace verbenachute
