#include "ForwardRig.h"

#include <doctest/doctest.h>

// Load pattern: the targets of some shards go dark for less than the deadline
// of the queries that need them, while the other shards answer.

namespace verbenachute {

namespace {

constexpr std::size_t kDarkShards = 2;

bool
IsDark(const SendAction& aSend)
{
  return static_cast<std::size_t>(aSend.mTarget.value()[1] - '0') < kDarkShards;
}

void
AnswerOthers(ForwardRig* aRig)
{
  for (const SendAction& send : aRig->Open()) {
    if (!IsDark(send)) {
      aRig->Answer(send.mAttempt);
    }
  }
}

/// Each shard has one target, and those of the first shards do not answer: they
/// are suspected after some queries.
ForwardRig
WithSuspectedTargets()
{
  ForwardRig rig(8, 0.89);
  for (int i = 0; i < 8; ++i) {
    const std::string service = "s" + std::to_string(i);
    rig.ListTarget(service + "-0", service, TargetAvailability::Ready, "");
  }
  for (int i = 0; i < 4; ++i) {
    rig.Submit("/gather/" + std::to_string(i), milliseconds(150));
    AnswerOthers(&rig);
    rig.Pass(milliseconds(500));
  }
  return rig;
}

} // namespace

TEST_CASE(
  "Queries wait while the targets of their last shards are probed, send "
  "nothing meanwhile, and are answered")
{
  ForwardRig rig = WithSuspectedTargets();
  const RequestNumber probe = rig.Submit("/gather/probe", milliseconds(1000));
  AnswerOthers(&rig);
  std::vector<RequestNumber> waiting;
  for (int i = 0; i < 5; ++i) {
    waiting.push_back(
      rig.Submit("/gather/w" + std::to_string(i), milliseconds(1000)));
    AnswerOthers(&rig);
    rig.Pass(milliseconds(10));
  }
  rig.Pass(milliseconds(400));
  AnswerOthers(&rig);
  // One attempt at each suspected target.
  CHECK(rig.Open().size() == kDarkShards);
  for (const RequestNumber number : waiting) {
    CHECK(rig.AnswerOf(number) == nullptr);
  }
  while (!rig.Open().empty()) {
    rig.Answer(rig.Open().front().mAttempt);
  }
  CHECK(rig.OutcomeOf<GatheredOutcome>(probe) != nullptr);
  for (const RequestNumber number : waiting) {
    CHECK(rig.OutcomeOf<GatheredOutcome>(number) != nullptr);
  }
}

TEST_CASE(
  "A waiting query that can not be answered in time any more ends before "
  "its deadline")
{
  ForwardRig rig = WithSuspectedTargets();
  rig.Submit("/gather/probe", milliseconds(1000));
  AnswerOthers(&rig);
  const RequestNumber number = rig.Submit("/gather/w", milliseconds(600));
  AnswerOthers(&rig);
  rig.Pass(milliseconds(300));
  CHECK(rig.AnswerOf(number) == nullptr);
  rig.Pass(milliseconds(299));
  const FailedOutcome* outcome = rig.OutcomeOf<FailedOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mReason == FailureReason::AttemptsFailed);
}

TEST_CASE("A query of which nothing has run is refused at its deadline, not "
          "failed")
{
  ForwardRig rig(2, 1);
  for (const char* service : { "s0", "s1" }) {
    rig.ListTarget(
      std::string(service) + "-0", service, TargetAvailability::Ready, "");
  }
  for (int i = 0; i < 4; ++i) {
    rig.Submit("/gather/" + std::to_string(i), milliseconds(150));
    rig.Pass(milliseconds(500));
  }
  rig.Submit("/gather/probe", milliseconds(1000));
  const std::size_t sent = rig.mSent.size();
  const RequestNumber number = rig.Submit("/gather/w", milliseconds(600));
  rig.Pass(milliseconds(600));
  CHECK(rig.mSent.size() == sent);
  CHECK(rig.OutcomeOf<RefusedOutcome>(number) != nullptr);
}

} // namespace verbenachute
