#include "ForwardRig.h"

#include <doctest/doctest.h>

#include <algorithm>

// Load pattern: targets are lost without a word, so that connections to them
// are never made and requests wait for them until their deadline.

namespace verbenachute {

namespace {

/// A rig in which no connection is made.
ForwardRig
WithoutConnections()
{
  ForwardRig rig(2, 1);
  rig.ListAll();
  rig.mEngine.SetDepartureCheck([](AttemptId) { return false; });
  return rig;
}

bool
AreAllCancelled(const ForwardRig& aRig)
{
  return std::all_of(
    aRig.mSent.begin(), aRig.mSent.end(), [&](const SendAction& aSend) {
      return std::find(aRig.mCancelled.begin(),
                       aRig.mCancelled.end(),
                       aSend.mAttempt) != aRig.mCancelled.end();
    });
}

} // namespace

TEST_CASE("A request that must not run twice and has not left this node at its "
          "deadline is refused as not run, and never leaves")
{
  ForwardRig rig = WithoutConnections();
  const RequestNumber number = rig.Submit("/once/1", milliseconds(100));
  REQUIRE(!rig.mSent.empty());
  rig.Pass(milliseconds(100));
  const RefusedOutcome* outcome = rig.OutcomeOf<RefusedOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mReason == RefusalReason::NoTarget);
  CHECK(outcome->mRetryAfter > Duration(0));
  CHECK(AreAllCancelled(rig));
}

TEST_CASE("A request that has left, or may be repeated, is failed at its "
          "deadline")
{
  ForwardRig rig = WithoutConnections();
  const RequestNumber single = rig.Submit("/single/1", milliseconds(100));
  const RequestNumber gather = rig.Submit("/gather/1", milliseconds(100));
  rig.Pass(milliseconds(100));
  CHECK(rig.OutcomeOf<FailedOutcome>(single) != nullptr);
  CHECK(rig.OutcomeOf<FailedOutcome>(gather) != nullptr);
  rig.mEngine.SetDepartureCheck([](AttemptId) { return true; });
  const RequestNumber once = rig.Submit("/once/1", milliseconds(100));
  rig.Pass(milliseconds(100));
  CHECK(rig.OutcomeOf<FailedOutcome>(once) != nullptr);
}

TEST_CASE("A request that must not run twice is cancelled if its caller leaves "
          "before it has left this node")
{
  for (const bool hasLeft : { false, true }) {
    CAPTURE(hasLeft);
    ForwardRig rig = WithoutConnections();
    rig.mEngine.SetDepartureCheck([hasLeft](AttemptId) { return hasLeft; });
    const RequestNumber number = rig.Submit("/once/1");
    rig.Take(rig.mEngine.OnCallerDisconnected(number, rig.mNow));
    CHECK(AreAllCancelled(rig) == !hasLeft);
  }
}

TEST_CASE("A part that waits for a refused request's connection starts")
{
  ForwardRig rig = WithoutConnections();
  rig.mEngine.SetNodes({ NodeName("other") }, NodeName("self"));
  // Without a share each target has one connection.
  rig.Submit("/once/1", milliseconds(100));
  rig.Submit("/once/2", milliseconds(100));
  REQUIRE(rig.mSent.size() == 2);
  rig.Pass(milliseconds(80));
  const RequestNumber waiting = rig.Submit("/once/3", milliseconds(1000));
  CHECK(rig.mSent.size() == 2);
  rig.Pass(milliseconds(15));
  CHECK(rig.mSent.size() == 3);
  CHECK(rig.AnswerOf(waiting) == nullptr);
}

} // namespace verbenachute
