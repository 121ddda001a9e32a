#pragma once

#include <LibForward/ForwardAction.h>
#include <LibForward/PoisonDetector.h>
#include <LibForward/TargetGate.h>
#include <LibObservation/Logger.h>

namespace verbenachute {

/// Logs the outcome of a request that was refused, failed, answered late or
/// answered without some of its shards, with the figures that explain it.
/// Complete answers within the latency objective are not logged.
void
LogOutcome(const AnswerAction& aAction,
           const RequestId& aRequest,
           Logger* aLogger);

/// Logs a target lost under a request that may have crashed it, and the moment
/// from which this node refuses the request.
void
LogPoisonNotice(const PoisonNotice& aNotice, Logger* aLogger);

/// Logs that a target asks for fewer requests, or no longer does.
void
LogGateNotice(const GateNotice& aNotice, Logger* aLogger);

} // namespace verbenachute
