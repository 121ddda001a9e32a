#include <Deployment/Promises.h>

#include <LibForward/RecordMerger.h>

#include <doctest/doctest.h>

namespace verbenachute::standins {

namespace {

const RequestId kId("q1");
const NodeName kNode("node-1");

/// Two shards with a target each, a plan, and one request that both answered.
struct Rig
{
  explicit Rig(RequestKind aKind = RequestKind::Gathered)
  {
    mPromises.OnPlan({ ServiceName("s0"), ServiceName("s1") }, mNow);
    Pass(seconds(10));
    mPromises.OnSent(kId, aKind, kNode, mNow);
  }

  void Pass(Duration aTime) { mNow += aTime; }

  void RunAt(const TargetFacts& aTarget)
  {
    mPromises.OnArrived(kId, aTarget, mNow);
    mPromises.OnRan(kId, aTarget);
  }

  void AnswerBoth()
  {
    for (const TargetFacts* target : { &mFirst, &mSecond }) {
      RunAt(*target);
      mPromises.OnSigned(kId, *target, "of-" + target->mName.value(), mRecord);
    }
  }

  [[nodiscard]] CallerOutcome Whole() const
  {
    CallerOutcome outcome;
    outcome.mStatus = 200;
    outcome.mPartSignatures = { "of-t0", "of-t1" };
    outcome.mBody = mRecord + mRecord;
    return outcome;
  }

  [[nodiscard]] std::size_t Violations() const
  {
    return mPromises.Violations().size();
  }

  TargetFacts mFirst{ TargetName("t0"), ServiceName("s0"), FailureDomain("a") };
  TargetFacts mSecond{ TargetName("t1"),
                       ServiceName("s1"),
                       FailureDomain("b") };
  std::string mRecord = std::string(kRecordBytes, 'r');
  Instant mNow{ seconds(100) };
  Promises mPromises{ Promises::Bounds() };
};

} // namespace

TEST_CASE("A whole answer keeps the promises and each damage breaks one")
{
  Rig rig;
  rig.AnswerBoth();
  CallerOutcome outcome = rig.Whole();
  std::size_t expected = 1;
  SUBCASE("whole")
  {
    expected = 0;
  }
  SUBCASE("a part is doubled")
  {
    outcome.mPartSignatures = { "of-t0", "of-t0" };
  }
  SUBCASE("a part is of another request")
  {
    outcome.mPartSignatures.back() = "of-t9";
  }
  SUBCASE("a part is missing and not told")
  {
    outcome.mPartSignatures.pop_back();
    outcome.mBody = rig.mRecord;
  }
  SUBCASE("a part is told to be missing that is there")
  {
    outcome.mMissing = 1;
  }
  SUBCASE("records are lost")
  {
    outcome.mBody = rig.mRecord;
  }
  SUBCASE("no part at all")
  {
    outcome.mPartSignatures.clear();
    outcome.mMissing = 2;
    outcome.mBody.clear();
  }
  rig.mPromises.OnOutcome(kId, outcome, rig.mNow);
  CHECK(rig.Violations() == expected);
}

TEST_CASE("A request that may run once is held to it and to refusals")
{
  Rig rig(RequestKind::Once);
  CallerOutcome refused;
  refused.mStatus = 503;
  SUBCASE("it runs twice")
  {
    rig.RunAt(rig.mFirst);
    CHECK(rig.Violations() == 0);
    rig.RunAt(rig.mFirst);
    CHECK(rig.Violations() == 1);
  }
  SUBCASE("it is refused after it ran")
  {
    rig.RunAt(rig.mFirst);
    rig.mPromises.OnOutcome(kId, refused, rig.mNow);
    CHECK(rig.Violations() == 1);
  }
  SUBCASE("it runs after it was refused")
  {
    rig.mPromises.OnOutcome(kId, refused, rig.mNow);
    CHECK(rig.Violations() == 0);
    rig.RunAt(rig.mFirst);
    CHECK(rig.Violations() == 1);
  }
}

TEST_CASE("Bounds hold from the change on, and stand still in a disruption")
{
  Rig rig;
  rig.mPromises.OnDomainOut(FailureDomain("a"), rig.mNow);
  SUBCASE("calm")
  {
    rig.Pass(seconds(4));
    rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
    CHECK(rig.Violations() == 0);
    rig.Pass(seconds(2));
    rig.mPromises.OnArrived(kId, rig.mSecond, rig.mNow);
    CHECK(rig.Violations() == 0);
    rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
    CHECK(rig.Violations() == 1);
    rig.mPromises.OnDomainIn(FailureDomain("a"));
    rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
    CHECK(rig.Violations() == 1);
  }
  SUBCASE("its node or the store is disrupted")
  {
    for (const NodeName& name : { NodeName(), kNode }) {
      rig.mPromises.OnDisruption(name);
      rig.Pass(seconds(6));
      rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
      CHECK(rig.Violations() == 0);
      rig.mPromises.OnRelief(name, rig.mNow);
    }
    rig.Pass(seconds(8));
    rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
    CHECK(rig.Violations() == 0);
    rig.Pass(seconds(2));
    rig.mPromises.OnArrived(kId, rig.mFirst, rig.mNow);
    CHECK(rig.Violations() == 1);
  }
  SUBCASE("a target drains")
  {
    rig.mPromises.OnDraining(rig.mSecond.mName, rig.mNow);
    rig.Pass(seconds(4));
    rig.mPromises.OnArrived(kId, rig.mSecond, rig.mNow);
    CHECK(rig.Violations() == 1);
  }
}

TEST_CASE("An answer by a replaced plan is wrong once the new one is due")
{
  Rig rig;
  rig.AnswerBoth();
  rig.mPromises.OnPlan({ ServiceName("n0"), ServiceName("n1") }, rig.mNow);
  // It was sent before the change.
  rig.mPromises.OnOutcome(kId, rig.Whole(), rig.mNow);
  CHECK(rig.Violations() == 0);
  rig.Pass(seconds(4));
  rig.mPromises.OnSent(kId, RequestKind::Gathered, kNode, rig.mNow);
  rig.mPromises.OnOutcome(kId, rig.Whole(), rig.mNow);
  CHECK(rig.Violations() == 1);
}

TEST_CASE("Strangers' requests, foreign bodies and connections are noticed")
{
  Rig rig(RequestKind::Single);
  rig.mPromises.OnArrived(RequestId("stranger"), rig.mFirst, rig.mNow);
  CHECK(rig.Violations() == 1);
  rig.AnswerBoth();
  CallerOutcome outcome;
  outcome.mStatus = 200;
  outcome.mSignature = "of-t0";
  outcome.mBody = "other";
  rig.mPromises.OnOutcome(kId, outcome, rig.mNow);
  CHECK(rig.Violations() == 2);
  outcome.mSignature = "";
  rig.mPromises.OnOutcome(kId, outcome, rig.mNow);
  CHECK(rig.Violations() == 3);
  rig.mPromises.OnConnections(rig.mFirst, 24, 24);
  CHECK(rig.Violations() == 3);
  rig.mPromises.OnConnections(rig.mFirst, 25, 24);
  CHECK(rig.Violations() == 4);
}

TEST_CASE("A cold target that gets too much in one second is noticed")
{
  for (const std::size_t count : { std::size_t{ 11 }, std::size_t{ 12 } }) {
    Promises promises{ Promises::Bounds() };
    const Instant now(seconds(100));
    const TargetFacts target{ TargetName("i-1"), ServiceName("s0"), {} };
    for (std::size_t i = 0; i < count; ++i) {
      const RequestId id("c" + std::to_string(i));
      promises.OnSent(id, RequestKind::Single, kNode, now);
      promises.OnArrivedCold(id, target, now + milliseconds(900));
    }
    CHECK(promises.Violations().size() == count - 11);
    // Two seconds later the earlier ones do not count any more.
    promises.OnSent(kId, RequestKind::Single, kNode, now + seconds(2));
    promises.OnArrivedCold(kId, target, now + seconds(2));
    CHECK(promises.Violations().size() == count - 11);
  }
}

} // namespace verbenachute::standins
