#include <LibQuery/AdmissionControl.h>

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

namespace {

const Instant kNow{ seconds(100) };
const CallerClass kDock("dock");
const CallerClass kReport("report");

// What became of which query, such as "start 1" or "overloaded 2".
std::string
Text(const AdmissionActions& aActions)
{
  std::string text;
  for (const AdmissionAction& action : aActions) {
    text += text.empty() ? "" : ", ";
    if (const StartQuery* start = std::get_if<StartQuery>(&action)) {
      text += "start " + std::to_string(start->mQuery.value());
      continue;
    }
    const RefuseQuery& refusal = std::get<RefuseQuery>(action);
    CHECK(refusal.mError.mStep == Step::Admission);
    text += ErrorCodeName(refusal.mError.mCode);
    text += " " + std::to_string(refusal.mQuery.value());
  }
  return text;
}

} // namespace

TEST_CASE("Queries are queued and shed by the weight of their class")
{
  AdmissionControl admission({ 2,
                               3,
                               { { kDock, 9, 2, 3 }, { kReport, 1, 1, 2 } },
                               { CallerClass("other") } });
  const auto arrive = [&admission](std::uint64_t aQuery,
                                   const CallerClass& aClass,
                                   Duration aLeft = seconds(9)) {
    return Text(
      admission.OnArrival(QueryId(aQuery), aClass, kNow + aLeft, kNow));
  };
  CHECK(arrive(1, kReport) == "start 1");
  CHECK(arrive(2, kReport) == "");
  CHECK(arrive(3, kReport, seconds(1)) == "");
  CHECK(arrive(4, kReport) == "overloaded 4");
  CHECK(arrive(5, kDock) == "start 5");
  CHECK(arrive(6, kDock) == "");
  CHECK(arrive(7, kDock) == "overloaded 3");
  CHECK(arrive(8, kReport) == "overloaded 8");
  CHECK(arrive(9, kDock, Duration(0)) == "deadline_passed 9");
  CHECK(admission.CountedClass(CallerClass("x")) == CallerClass("other"));
  CHECK(arrive(10, CallerClass("x")) == "overloaded 10");

  // The higher weight starts first, and the class of 1 has no second place.
  CHECK(Text(admission.OnFinished(QueryId(5), kNow)) == "start 6");
  CHECK(Text(admission.OnFinished(QueryId(6), kNow)) == "start 7");
  CHECK(Text(admission.OnFinished(QueryId(7), kNow)) == "");
  CHECK(Text(admission.OnFinished(QueryId(1), kNow)) == "start 2");
  CHECK(admission.RunningCount() == 1);
  CHECK(admission.QueuedCount() == 0);
}

TEST_CASE("A queued query is refused once it is too late to start it")
{
  AdmissionControl admission({ 1, 9, {}, { kDock, 1, 1, 9 } });
  for (std::uint64_t query = 1; query <= 3; ++query) {
    (void)admission.OnArrival(
      QueryId(query), kDock, kNow + seconds(query), kNow);
  }
  CHECK(admission.NextWake() == kNow + seconds(2));
  CHECK(Text(admission.OnTimer(kNow + seconds(1))) == "");
  CHECK(Text(admission.OnTimer(kNow + seconds(2))) == "deadline_passed 2");
  admission.OnWithdrawn(QueryId(3));
  CHECK(admission.NextWake() == std::nullopt);
  CHECK(Text(admission.OnFinished(QueryId(1), kNow)) == "");
}

} // namespace verbenachute
