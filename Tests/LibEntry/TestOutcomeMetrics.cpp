#include <LibEntry/OutcomeMetrics.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

AnswerAction
ActionWithOutcome(ForwardOutcome aOutcome)
{
  AnswerAction action;
  action.mOutcome = std::move(aOutcome);
  action.mSummary.mRoute = "lookup";
  action.mSummary.mHedges = 2;
  action.mSummary.mElapsed = milliseconds(12);
  return action;
}

} // namespace

TEST_CASE("Each outcome is counted once, with its reason")
{
  MetricsRegistry metrics;
  GatheredOutcome partial;
  partial.mMissingParts = 1;
  const CallerId caller("dock.example");
  CountOutcome(ActionWithOutcome(RelayedOutcome()), caller, &metrics);
  CountOutcome(ActionWithOutcome(GatheredOutcome()), caller, &metrics);
  CountOutcome(ActionWithOutcome(partial), caller, &metrics);
  CountOutcome(
    ActionWithOutcome(RefusedOutcome{ RefusalReason::NoTarget, Duration(0) }),
    caller,
    &metrics);
  CountOutcome(
    ActionWithOutcome(FailedOutcome{ FailureReason::DeadlinePassed }),
    caller,
    &metrics);
  CHECK(metrics.Value(Counter::QueriesComplete) == 2);
  CHECK(metrics.Value(Counter::QueriesPartial) == 1);
  CHECK(metrics.Value(Counter::QueriesOutcomeUnknown) == 1);
  CHECK(metrics.Value(Counter::Hedges) == 10);
  const std::string text = metrics.Exposition();
  for (const char* line : {
         R"(step="admission",code="unavailable",ran="not run"} 1)",
         R"(step="target",code="deadline_passed",ran="outcome unknown"} 1)",
         R"(latency_seconds_count{class="lookup"} 5)",
         R"(latency_seconds_count{caller="dock.example"} 5)",
       }) {
    CAPTURE(text);
    CHECK(text.find(line) != std::string::npos);
  }
}

TEST_CASE("A request without a route adds no caller class to the metrics")
{
  MetricsRegistry metrics;
  AnswerAction action = ActionWithOutcome(NoRouteOutcome());
  action.mSummary.mRoute.clear();
  CountOutcome(action, CallerId("x"), &metrics);
  CHECK(metrics.Exposition().find("class=") == std::string::npos);
}

} // namespace verbenachute
