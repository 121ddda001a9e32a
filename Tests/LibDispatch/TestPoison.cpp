#include "FakeCell.h"
#include "GateFixture.h"

#include <LibDispatch/PoisonList.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

const NodeIdentity kOne{ NodeName("node-1"), Incarnation(1) };
const NodeIdentity kTwo{ NodeName("node-2"), Incarnation(1) };
const Fingerprint kQuery(666);
const TargetName kTarget("t-1");
const Instant kStart{ seconds(100) };

/// Brings a query under suspicion at the fixture and waits until it may be
/// tried there.
void
Suspect(GateFixture& aFixture, std::uint64_t aAttempt)
{
  aFixture.Submit(aAttempt);
  const DispatchId id = aFixture.Last<SendToTarget>().mDispatch;
  aFixture.Note(aFixture.mGate->OnConnectionLost(id, aFixture.mNow));
  aFixture.Wait(seconds(2));
  aFixture.Note(
    aFixture.mGate->OnProbeReply(aFixture.mTarget, {}, aFixture.mNow));
}

SubQuery
Again(const GateFixture& aFixture, std::uint64_t aAttempt)
{
  SubQuery again = aFixture.Make(aAttempt);
  again.mFingerprint = Fingerprint(1);
  return again;
}

} // namespace

TEST_CASE("A suspect runs alone, is convicted by its second crash")
{
  GateFixture fixture;
  fixture.Warm();
  Suspect(fixture, 1);
  CHECK(fixture.Last<ReportPoison>().mReport.mVerdict ==
        PoisonVerdict::Suspected);
  fixture.mActions.clear();
  fixture.Submit(Again(fixture, 2));
  REQUIRE(fixture.Count<SendToTarget>() == 1);
  // One trial at a time, and nothing beside it.
  fixture.Submit(Again(fixture, 3));
  CHECK(fixture.LastFailure().mError.mCode == ErrorCode::Poisoned);
  fixture.Submit(4);
  CHECK(fixture.Count<SendToTarget>() == 1);
  const DispatchId trial = fixture.Last<SendToTarget>().mDispatch;
  fixture.Note(fixture.mGate->OnConnectionLost(trial, fixture.mNow));
  CHECK(fixture.Last<ReportPoison>().mReport.mVerdict ==
        PoisonVerdict::Convicted);
  fixture.Wait(seconds(2));
  fixture.Note(fixture.mGate->OnProbeReply(fixture.mTarget, {}, fixture.mNow));
  fixture.mActions.clear();
  fixture.Submit(Again(fixture, 5));
  CHECK(fixture.LastFailure().mError.mCode == ErrorCode::Poisoned);
  CHECK(fixture.LastFailure().mExecution == Execution::NotRun);
  fixture.Submit(6);
  CHECK(fixture.Count<SendToTarget>() == 1);
}

TEST_CASE("A suspect that completes alone is cleared")
{
  GateFixture fixture;
  Suspect(fixture, 1);
  fixture.Submit(Again(fixture, 2));
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  CHECK(fixture.Last<ReportPoison>().mReport.mVerdict ==
        PoisonVerdict::Cleared);
  fixture.mActions.clear();
  fixture.Submit(Again(fixture, 3));
  CHECK(fixture.Count<SendToTarget>() == 1);
}

TEST_CASE("A trial waits until the target is empty")
{
  GateFixture fixture;
  fixture.Warm();
  Suspect(fixture, 1);
  for (std::uint64_t attempt = 20; attempt < 60; ++attempt) {
    fixture.Submit(attempt);
    fixture.mNow += milliseconds(2);
    fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  }
  fixture.Submit(70);
  const DispatchId other = fixture.Last<SendToTarget>().mDispatch;
  fixture.Submit(Again(fixture, 2));
  CHECK(fixture.Last<SendToTarget>().mDispatch == other);
  fixture.Reply(other);
  CHECK(fixture.Last<SendToTarget>().mSubQuery.mAttempt == AttemptId(2));
}

TEST_CASE("Standing of a fingerprint over time")
{
  const DispatchSettings settings;
  PoisonList list(kOne, settings);
  CHECK(list.OnCrash(kTarget, { kQuery }, kStart).size() == 1);
  CHECK(list.OnCrash(kTarget, { kQuery }, kStart).empty());
  CHECK(list.StandingOf(kQuery, kStart) == PoisonStanding::Refused);
  CHECK(list.StandingOf(kQuery, kStart + settings.mTrialDelay) ==
        PoisonStanding::MayBeTried);
  CHECK(list.StandingOf(kQuery, kStart + settings.mSuspicion) ==
        PoisonStanding::Clear);
  list.OnTrialStarted(kQuery);
  list.OnTrialCrashed(kQuery, kTarget, kStart);
  const Instant end = kStart + settings.mConviction;
  CHECK(list.StandingOf(kQuery, end - microseconds(1)) ==
        PoisonStanding::Refused);
  // After a conviction it is tried again before it may run at large.
  CHECK(list.StandingOf(kQuery, end + settings.mTrialDelay) ==
        PoisonStanding::MayBeTried);
}

TEST_CASE("Another node takes over a trial that its trier does not undertake")
{
  const DispatchSettings settings;
  PoisonList list(kOne, settings);
  list.OnReport({ kQuery, 1, PoisonVerdict::Suspected, kTwo, seconds(600) },
                kStart);
  const Instant due = kStart + settings.mTrialDelay + settings.mTrialPatience;
  CHECK(!list.OnRefused(kQuery, due - microseconds(1)));
  const std::optional<PoisonReport> report = list.OnRefused(kQuery, due);
  REQUIRE(report);
  CHECK(report->mEpisode == 2);
  CHECK(report->mTrier == kOne);
  CHECK(!list.OnRefused(kQuery, due + seconds(60)));
  CHECK(list.StandingOf(kQuery, due + settings.mTrialDelay) ==
        PoisonStanding::MayBeTried);
  PoisonList earlier(kTwo, settings);
  earlier.OnCrash(kTarget, { kQuery }, kStart);
  earlier.OnReport(*report, due);
  CHECK(earlier.StandingOf(kQuery, due + seconds(2)) ==
        PoisonStanding::Refused);
}

TEST_CASE("Lists converge whatever the order and number of the reports")
{
  const auto report = [](std::uint64_t aEpisode,
                         PoisonVerdict aVerdict,
                         const NodeIdentity& aTrier) {
    return PoisonReport{ kQuery, aEpisode, aVerdict, aTrier, seconds(20) };
  };
  std::vector<PoisonReport> reports{
    report(1, PoisonVerdict::Suspected, kTwo),
    report(1, PoisonVerdict::Suspected, kOne),
    report(1, PoisonVerdict::Cleared, kTwo),
    report(2, PoisonVerdict::Suspected, kTwo),
    report(2, PoisonVerdict::Suspected, kOne),
  };
  std::vector<std::size_t> order{ 0, 1, 2, 3, 4 };
  do {
    PoisonList list({ NodeName("node-9"), Incarnation(1) }, {});
    for (const std::size_t index : order) {
      list.OnReport(reports[index], kStart);
      list.OnReport(reports[order[0]], kStart);
    }
    const std::vector<PoisonReport> known = list.Reports(kStart);
    REQUIRE(known.size() == 1);
    CHECK(known[0] == reports[4]);
  } while (std::next_permutation(order.begin(), order.end()));
}

TEST_CASE("The list is bounded and keeps convictions longest")
{
  DispatchSettings settings;
  settings.mPoisonLimit = 8;
  PoisonList list(kOne, settings);
  list.OnReport({ kQuery, 1, PoisonVerdict::Convicted, kTwo, seconds(5) },
                kStart);
  for (std::uint64_t number = 1000; number < 2000; ++number) {
    list.OnCrash(kTarget, { Fingerprint(number) }, kStart);
    CHECK(list.size() <= 8);
  }
  CHECK(list.StandingOf(kQuery, kStart) == PoisonStanding::Refused);
}

TEST_CASE("A fleet loses a bounded number of targets to one query")
{
  CellFaults faults;
  faults.mPoison = 0.02;
  faults.mDuplicates = 0.05;
  for (std::uint64_t seed = 101; seed <= 110; ++seed) {
    CAPTURE(seed);
    FakeCell cell(seed, faults);
    cell.Run(seconds(120));
    const Instant first = cell.FirstPoisonCrash();
    REQUIRE(first < cell.Now());
    // What was under way when the first crash became known, and one trial.
    // What was sent before the first crash was known everywhere, and one trial.
    const Duration known = milliseconds(12);
    CHECK(cell.PoisonCrashes(Instant{}) <= 3);
    CHECK(cell.PoisonCrashes(first + known) <= 1);
    CHECK(cell.LongestBlame() <= seconds(5));
    CHECK(cell.Violations() == "");
  }
}

} // namespace verbenachute
