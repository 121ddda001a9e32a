#include <LibMembership/LeavingProcess.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Instant kStart{ seconds(1000) };

LeavingFacts
Busy()
{
  return LeavingFacts{
    { NodeIdentity{ NodeName("b"), Incarnation(1) } }, 2, { RequestId("r") }, 3
  };
}

} // namespace

TEST_CASE("A node leaves through all phases and ends with 0")
{
  LeavingProcess leaving({});
  LeavingFacts facts = Busy();
  CHECK(leaving.Step(facts, kStart).empty());
  CHECK(leaving.OnSignal(facts, kStart) ==
        std::vector{ LeavingAction::AnnounceLeaving });
  CHECK(leaving.Step(facts, kStart + seconds(1)).empty());
  facts.mUnconfirmed.clear();
  // The answers of the last peer to confirm run out from here.
  CHECK(leaving.Step(facts, kStart + seconds(2)).empty());
  CHECK(leaving.Phase() == LeavingPhase::RunningOut);
  CHECK(leaving.Step(facts, kStart + milliseconds(7499)).empty());
  CHECK(leaving.Step(facts, kStart + milliseconds(7500)) ==
        std::vector{ LeavingAction::RefuseNewWork,
                     LeavingAction::HandOverBuckets });
  facts.mBucketsHeld = 0;
  CHECK(leaving.Step(facts, kStart + seconds(8)).empty());
  CHECK(leaving.Phase() == LeavingPhase::Draining);
  facts.mQueries.clear();
  CHECK(leaving.Step(facts, kStart + seconds(9)).empty());
  facts.mSubQueries = 0;
  CHECK(leaving.Step(facts, kStart + seconds(10)) ==
        std::vector{ LeavingAction::Exit });
  CHECK(ExitStatusOf(leaving.Report()) == 0);
}

TEST_CASE("Each phase is bounded and what is given up is reported")
{
  LeavingProcess leaving({});
  const LeavingFacts facts = Busy();
  CHECK(leaving.OnSignal(facts, kStart).size() == 1);
  // A peer that never confirms holds the node for the longest offer only.
  CHECK(leaving.Step(facts, kStart + milliseconds(2499)).empty());
  CHECK(leaving.Phase() == LeavingPhase::Announcing);
  CHECK(leaving.Step(facts, kStart + milliseconds(2500)).empty());
  CHECK(leaving.Phase() == LeavingPhase::RunningOut);
  CHECK(leaving.Step(facts, kStart + seconds(8)).size() == 2);
  CHECK(leaving.Step(facts, kStart + seconds(28)).empty());
  CHECK(leaving.Phase() == LeavingPhase::Draining);
  CHECK(leaving.Step(facts, kStart + seconds(58)) ==
        std::vector{ LeavingAction::Exit });
  CHECK(leaving.Report().mEnding == LeavingEnding::LimitPassed);
  CHECK(leaving.Report().mPhase == LeavingPhase::HandingOver);
  CHECK(leaving.Report().mGivenUp.mBucketsHeld == 2);
  CHECK(leaving.Report().mGivenUp.mQueries.size() == 1);
  CHECK(ExitStatusOf(leaving.Report()) == 1);
}

TEST_CASE("A second signal gives up in any phase and lists what is left")
{
  for (int steps = 0; steps < 4; ++steps) {
    CAPTURE(steps);
    LeavingProcess leaving({});
    const LeavingFacts facts = Busy();
    CHECK(leaving.OnSignal(facts, kStart).size() == 1);
    Instant now = kStart;
    for (int i = 0; i < steps; ++i) {
      now += seconds(20);
      static_cast<void>(leaving.Step(facts, now));
    }
    const LeavingPhase phase = leaving.Phase();
    CHECK(leaving.OnSignal(facts, now) == std::vector{ LeavingAction::Exit });
    CHECK(leaving.Report().mEnding == LeavingEnding::SecondSignal);
    CHECK(leaving.Report().mPhase <= phase);
    CHECK(leaving.Report().mGivenUp.mSubQueries == 3);
    CHECK(leaving.OnSignal(facts, now).empty());
    CHECK(leaving.Step(facts, now).empty());
  }
}

} // namespace verbenachute
