#include "OutcomeLog.h"

#include <LibCore/Overloaded.h>

#include <optional>
#include <string>
#include <variant>

namespace verbenachute {

void
LogOutcome(const AnswerAction& aAction,
           const RequestId& aRequest,
           Logger* aLogger)
{
  const ForwardSummary& summary = aAction.mSummary;
  std::optional<EventNumber> number;
  std::string reason;
  std::visit(Overloaded{ [&](const RelayedOutcome&) {
                          if (summary.mElapsed > summary.mObjective) {
                            number = EventNumber::RequestLate;
                          }
                        },
                         [&](const GatheredOutcome& aGathered) {
                           if (summary.mElapsed > summary.mObjective) {
                             number = EventNumber::RequestLate;
                           } else if (aGathered.mMissingParts > 0) {
                             number = EventNumber::QueryPartial;
                           }
                         },
                         [&](const RefusedOutcome& aRefused) {
                           number = EventNumber::QueryRefused;
                           reason = RefusalReasonName(aRefused.mReason);
                         },
                         [&](const FailedOutcome& aFailed) {
                           number = EventNumber::RequestFailed;
                           reason = FailureReasonName(aFailed.mReason);
                         },
                         [](const NoRouteOutcome&) {},
                         [&](const NotAuthenticatedOutcome&) {
                           number = EventNumber::QueryRefused;
                           reason = "not_authenticated";
                         } },
             aAction.mOutcome);
  if (!number.has_value()) {
    return;
  }
  aLogger->Log(LogEvent(*number)
                 .At(Step::Dispatch)
                 .Peer(summary.mRoute)
                 .With("request", aRequest.value())
                 .With("reason", reason)
                 .With("plan", summary.mPlan.value())
                 .With("elapsed_us", summary.mElapsed.count())
                 .With("parts", summary.mParts)
                 .With("parts_done", summary.mPartsDone)
                 .With("attempts", summary.mAttempts)
                 .With("hedges", summary.mHedges)
                 .With("retries", summary.mRetries)
                 .With("unpaid", summary.mOverBudget)
                 .With("peers", summary.mPeerNames)
                 .With("delegated", summary.mDelegatedParts)
                 .With("missing", summary.mMissingServices)
                 .With("fingerprint", summary.mFingerprint.value()));
}

void
LogPoisonNotice(const PoisonNotice& aNotice, Logger* aLogger)
{
  const char* source = aNotice.mSource == PoisonNotice::Source::OwnAttempt
                         ? "own_attempt"
                         : "peer";
  aLogger->Log(LogEvent(aNotice.mChange == PoisonChange::Convicted
                          ? EventNumber::RequestPoisoned
                          : EventNumber::TargetLostUnderRequest)
                 .At(Step::Dispatch)
                 .Peer(aNotice.mObservation.mTarget.value())
                 .With("fingerprint", aNotice.mObservation.mFingerprint.value())
                 .With("source", source));
}

void
LogGateNotice(const GateNotice& aNotice, Logger* aLogger)
{
  LogEvent event = LogEvent(EventNumber::TargetHoldChanged)
                     .At(Step::Dispatch)
                     .Peer(aNotice.mTarget.value())
                     .With("reason", HoldReasonName(aNotice.mReason));
  if (aNotice.mValue.has_value()) {
    event.With("value", std::to_string(*aNotice.mValue));
  }
  aLogger->Log(event);
}

} // namespace verbenachute
