#include "GateFixture.h"

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A sub-query is sent and its reply goes to the node that sent it")
{
  GateFixture fixture;
  fixture.Submit(1);
  REQUIRE(fixture.Count<SendToTarget>() == 1);
  fixture.mNow += milliseconds(3);
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  const AnswerSubQuery answer = fixture.Last<AnswerSubQuery>();
  CHECK(answer.mOrigin == fixture.mOrigin);
  CHECK(answer.mAnswer.mAttempt == AttemptId(1));
  CHECK(answer.mAnswer.mService == milliseconds(3));
  CHECK(std::holds_alternative<ShardResult>(answer.mAnswer.mOutcome));
}

TEST_CASE("A warm target gets as much as it has slots, and the rest waits")
{
  GateFixture fixture;
  fixture.Warm();
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Submit(3);
  REQUIRE(fixture.Count<SendToTarget>() == 2);
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  CHECK(fixture.Count<SendToTarget>() == 3);
}

} // namespace verbenachute
