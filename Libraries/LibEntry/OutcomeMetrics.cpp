#include <LibEntry/OutcomeMetrics.h>

#include <LibCore/Overloaded.h>
#include <LibCore/Verify.h>

#include <variant>

namespace verbenachute {

namespace {

ErrorCode
ErrorCodeFor(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::NoPlan:
    case RefusalReason::NoTarget:
    case RefusalReason::QuotaUnknown:
    case RefusalReason::KeyUndecided:
      return ErrorCode::Unavailable;
    case RefusalReason::Overloaded:
    case RefusalReason::TargetsHeld:
    case RefusalReason::OverQuota:
      return ErrorCode::Overloaded;
    case RefusalReason::Declined:
      return ErrorCode::Refused;
    case RefusalReason::Leaving:
      return ErrorCode::Draining;
    case RefusalReason::Poisonous:
      return ErrorCode::Poisoned;
    case RefusalReason::TooLate:
      return ErrorCode::DeadlinePassed;
  }
  VERIFY(!"unknown refusal");
}

Error
ErrorAt(Step aStep, ErrorCode aCode)
{
  return Error{ aStep, aCode, "", "" };
}

} // namespace

void
CountOutcome(const AnswerAction& aAction,
             const CallerId& aCaller,
             MetricsRegistry* aMetrics)
{
  const ForwardSummary& summary = aAction.mSummary;
  std::visit(
    Overloaded{
      [&](const RelayedOutcome&) { aMetrics->Add(Counter::QueriesComplete); },
      [&](const GatheredOutcome& aGathered) {
        aMetrics->Add(aGathered.mMissingParts == 0 ? Counter::QueriesComplete
                                                   : Counter::QueriesPartial);
      },
      [&](const RefusedOutcome& aRefused) {
        aMetrics->CountRefusal(
          ErrorAt(Step::Admission, ErrorCodeFor(aRefused.mReason)),
          Execution::NotRun);
      },
      [&](const FailedOutcome& aFailed) {
        aMetrics->Add(Counter::QueriesOutcomeUnknown);
        const bool deadlinePassed =
          aFailed.mReason == FailureReason::DeadlinePassed;
        aMetrics->CountRefusal(ErrorAt(Step::Target,
                                       deadlinePassed
                                         ? ErrorCode::DeadlinePassed
                                         : ErrorCode::TargetFailed),
                               Execution::OutcomeUnknown);
      },
      [&](const NoRouteOutcome&) {
        aMetrics->CountRefusal(ErrorAt(Step::Route, ErrorCode::NotFound),
                               Execution::NotRun);
      },
      [&](const NotAuthenticatedOutcome&) {
        aMetrics->CountRefusal(ErrorAt(Step::Admission, ErrorCode::Forbidden),
                               Execution::NotRun);
      } },
    aAction.mOutcome);
  aMetrics->Add(Counter::Hedges, summary.mHedges);
  aMetrics->Add(Counter::Retries, summary.mRetries);
  if (!summary.mRoute.empty()) {
    aMetrics->ObserveLatency(
      CallerClass(summary.mRoute), aCaller, summary.mElapsed);
  }
}

} // namespace verbenachute
