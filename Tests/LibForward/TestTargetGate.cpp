#include "ForwardRig.h"

#include <LibForward/TargetGate.h>

#include <algorithm>
#include <deque>
#include <doctest/doctest.h>

// Load pattern: targets in need name the rate that they take from all nodes
// together, far below what the callers ask for.

namespace verbenachute {

namespace {

constexpr Duration kWindow = seconds(4);

/// What the users allow in each window.
double
AllowedInWindow(double aPerSecond)
{
  return 1.5 * 4 * aPerSecond + 5;
}

void
NameRate(ForwardRig* aRig, AttemptId aAttempt, std::optional<double> aRate)
{
  PartReply reply;
  reply.mKind = ReplyKind::Answered;
  reply.mStatus = 200;
  reply.mSignature = "signature-" + std::to_string(aAttempt.value());
  reply.mNamedRate = aRate;
  aRig->Take(aRig->mEngine.OnReply(aAttempt, reply, aRig->mNow));
}

/// A rig of one of eight nodes; the targets of "single" have named a rate.
ForwardRig
WithNamedRates(std::size_t aTargets, double aPerSecond)
{
  ForwardRig rig;
  for (std::size_t i = 0; i < aTargets; ++i) {
    rig.ListTarget("single-" + std::to_string(i), "single");
  }
  std::set<TargetName> told;
  while (told.size() < aTargets) {
    rig.Submit("/single/first");
    const SendAction send = rig.mSent.back();
    told.insert(send.mTarget);
    NameRate(&rig, send.mAttempt, aPerSecond);
    rig.Pass(seconds(10));
  }
  rig.mSent.clear();
  return rig;
}

} // namespace

// Guards against a target that gets more than the rate it has named.
TEST_CASE("All nodes together keep a named rate in each window")
{
  for (const double rate : { 0.1, 0.5, 1.0, 2.5, 7.0, 24.4, 300.0 }) {
    for (const std::size_t nodes : { 1, 2, 9, 12, 83 }) {
      CAPTURE(rate);
      CAPTURE(nodes);
      Instant now(seconds(1000));
      std::vector<TargetGate> gates(nodes, TargetGate(now));
      std::deque<Instant> sent;
      std::size_t total = 0;
      std::size_t most = 0;
      for (const Instant end = now + seconds(20); now < end;
           now += milliseconds(10)) {
        for (std::size_t i = 0; i < nodes; ++i) {
          TargetRateShares shares;
          shares.mNamed = TargetGate::NamedShare(
            rate, [i]() { return i; }, nodes);
          while (
            gates[i].Decide(shares, AttemptPurpose::First, 0, now).MaySend()) {
            gates[i].OnSent(shares, now);
            sent.push_back(now);
            ++total;
          }
        }
        while (!sent.empty() && sent.front() <= now - kWindow) {
          sent.pop_front();
        }
        most = std::max(most, sent.size());
      }
      CHECK(static_cast<double>(most) <= AllowedInWindow(rate));
      // What the target offers is used.
      CHECK(static_cast<double>(total) >= 0.99 * 20 * rate - 1);
    }
  }
}

// Guards against first attempts, hedges and retries beyond a named rate, and
// against requests that wait for what cannot be sent in time.
TEST_CASE("What a named rate does not take goes to another copy or is refused")
{
  ForwardRig rig = WithNamedRates(1, 2);
  SUBCASE("another copy takes it")
  {
    rig.ListTarget("single-9", "single");
    for (int i = 0; i < 40; ++i) {
      const RequestNumber number = rig.Submit("/single/1");
      REQUIRE(!rig.Open().empty());
      rig.Answer(rig.Open().back().mAttempt);
      CHECK(rig.OutcomeOf<RelayedOutcome>(number) != nullptr);
      rig.Pass(milliseconds(5));
    }
    const std::size_t atLimited = static_cast<std::size_t>(std::count_if(
      rig.mSent.begin(), rig.mSent.end(), [](const SendAction& aSend) {
        return aSend.mTarget == TargetName("single-0");
      }));
    CHECK(static_cast<double>(atLimited) <= AllowedInWindow(2));
  }
  SUBCASE("without one it is refused at once, and may return at the time told")
  {
    const RefusedOutcome* refused = nullptr;
    for (int i = 0; i < 40 && refused == nullptr; ++i) {
      const RequestNumber number = rig.Submit("/single/1");
      refused = rig.OutcomeOf<RefusedOutcome>(number);
      if (refused == nullptr) {
        NameRate(&rig, rig.Open().back().mAttempt, 2);
      }
    }
    REQUIRE(refused != nullptr);
    CHECK(refused->mReason == RefusalReason::TargetsHeld);
    CHECK(refused->mRetryAfter > milliseconds(100));
    CHECK(static_cast<double>(rig.mSent.size()) <= AllowedInWindow(2));
    const Duration wait = refused->mRetryAfter;
    const std::size_t sent = rig.mSent.size();
    rig.Pass(wait / 2);
    CHECK(rig.OutcomeOf<RefusedOutcome>(rig.Submit("/single/1")) != nullptr);
    rig.Pass(wait / 2);
    rig.Submit("/single/1");
    CHECK(rig.mSent.size() == sent + 1);
  }
}

// Guards against a limit that outlives its reason, and one that is lost.
TEST_CASE("A named rate holds for as long as the target's answers name it")
{
  ForwardRig rig = WithNamedRates(1, 0.5);
  const auto isLimited = [&]() {
    // More than the burst of this node.
    for (int i = 0; i < 8; ++i) {
      if (rig.OutcomeOf<RefusedOutcome>(rig.Submit("/single/1")) != nullptr) {
        return true;
      }
      rig.mSent.pop_back();
    }
    return false;
  };
  rig.Submit("/single/1");
  const AttemptId attempt = rig.mSent.back().mAttempt;
  SUBCASE("an answer without it")
  {
    NameRate(&rig, attempt, std::nullopt);
    CHECK(!isLimited());
  }
  SUBCASE("an answer whose rate cannot be read")
  {
    PartReply reply;
    reply.mKind = ReplyKind::Answered;
    reply.mStatus = 200;
    reply.mSignature = "signature";
    reply.mIsNamedRateUnreadable = true;
    rig.Take(rig.mEngine.OnReply(attempt, reply, rig.mNow));
    CHECK(isLimited());
  }
  SUBCASE("the address belongs to another target")
  {
    PartReply reply;
    reply.mKind = ReplyKind::WrongTarget;
    reply.mStatus = 421;
    rig.Take(rig.mEngine.OnReply(attempt, reply, rig.mNow));
    rig.Pass(seconds(2));
    CHECK(isLimited());
  }
  SUBCASE("the target has started anew")
  {
    NameRate(&rig, attempt, 0.5);
    ListedTarget target =
      rig.mEngine.Targets().Find(TargetName("single-0"))->Listed();
    target.mStartTime = UnixMilliseconds(5);
    rig.mEngine.Targets().List(target, rig.mNow);
    CHECK(!isLimited());
  }
}

// Guards against new work for a target that is about to end.
TEST_CASE("A target that says that it leaves gets no new work, whatever its "
          "entry says")
{
  ForwardRig rig;
  rig.ListTarget("single-0", "single");
  rig.ListTarget("single-1", "single");
  const RequestNumber running = rig.Submit("/single/running");
  const TargetName leaving = rig.mSent.back().mTarget;
  const AttemptId first = rig.mSent.back().mAttempt;
  PartReply reply;
  reply.mStatus = 503;
  reply.mIsLeaving = true;
  SUBCASE("answered")
  {
    reply.mStatus = 200;
    reply.mKind = ReplyKind::Answered;
    reply.mSignature = "signature";
    rig.Take(rig.mEngine.OnReply(first, reply, rig.mNow));
    CHECK(rig.OutcomeOf<RelayedOutcome>(running) != nullptr);
  }
  SUBCASE("failed, and retried elsewhere")
  {
    rig.Take(rig.mEngine.OnReply(first, reply, rig.mNow));
    REQUIRE(rig.mSent.size() == 2);
    CHECK(rig.mSent.back().mTarget != leaving);
  }
  SUBCASE("turned away")
  {
    reply.mKind = ReplyKind::Declined;
    rig.Take(rig.mEngine.OnReply(first, reply, rig.mNow));
  }
  SUBCASE("answered after the other target had")
  {
    rig.Pass(milliseconds(150));
    REQUIRE(rig.Open().size() == 2);
    rig.Answer(rig.Open().back().mAttempt);
    rig.Take(rig.mEngine.OnReply(first, reply, rig.mNow));
  }
  TargetRecords& targets = rig.mEngine.Targets();
  ListedTarget listed = targets.Find(leaving)->Listed();
  const auto sendsToIt = [&]() {
    rig.mSent.clear();
    for (int i = 0; i < 20; ++i) {
      rig.Submit("/single/1");
      rig.Pass(milliseconds(300));
      for (const SendAction& open : rig.Open()) {
        rig.Answer(open.mAttempt);
      }
    }
    return std::any_of(
      rig.mSent.begin(), rig.mSent.end(), [&](const SendAction& aSend) {
        return aSend.mTarget == leaving;
      });
  };
  CHECK(!sendsToIt());
  listed.mAvailability = TargetAvailability::Draining;
  targets.List(listed, rig.mNow);
  listed.mAvailability = TargetAvailability::Ready;
  targets.List(listed, rig.mNow);
  CHECK(!sendsToIt());
  targets.Unlist(leaving);
  targets.List(listed, rig.mNow);
  CHECK(!sendsToIt());
  listed.mStartTime = UnixMilliseconds(7);
  targets.List(listed, rig.mNow);
  CHECK(sendsToIt());
}

// Guards against requests to a target that has asked for a pause, and against
// taking the pause for a failure.
TEST_CASE("A target that asks for a pause gets nothing until it is over")
{
  ForwardRig rig;
  rig.ListTarget("single-0", "single");
  PartReply turnedAway;
  turnedAway.mKind = ReplyKind::Declined;
  turnedAway.mStatus = 503;
  turnedAway.mPause = seconds(2);
  const RequestNumber one = rig.Submit("/single/1");
  const RequestNumber two = rig.Submit("/single/2");
  REQUIRE(rig.Open().size() == 2);
  const AttemptId second = rig.Open()[1].mAttempt;
  rig.Take(rig.mEngine.OnReply(rig.Open()[0].mAttempt, turnedAway, rig.mNow));
  const TargetRecord* target =
    rig.mEngine.Targets().Find(TargetName("single-0"));
  CHECK(target->FailureRate(rig.mNow) == 0);
  CHECK(!target->IsSuspect(rig.mNow));
  const RefusedOutcome* refused = rig.OutcomeOf<RefusedOutcome>(one);
  REQUIRE(refused != nullptr);
  CHECK(refused->mReason == RefusalReason::TargetsHeld);
  CHECK(refused->mRetryAfter == seconds(2));
  // A response that was under way does not shorten it.
  turnedAway.mPause = milliseconds(10);
  rig.Take(rig.mEngine.OnReply(second, turnedAway, rig.mNow));
  CHECK(rig.OutcomeOf<RefusedOutcome>(two) != nullptr);
  rig.mSent.clear();
  SUBCASE("alone")
  {
    while (rig.mNow < Instant(seconds(1001)) + milliseconds(990)) {
      const RequestNumber number = rig.Submit("/single/1");
      refused = rig.OutcomeOf<RefusedOutcome>(number);
      REQUIRE(refused != nullptr);
      CHECK(rig.mNow + refused->mRetryAfter >= Instant(seconds(1002)));
      rig.Pass(milliseconds(100));
    }
    CHECK(rig.mSent.empty());
    rig.Pass(milliseconds(110));
    rig.Submit("/single/1");
    CHECK(rig.mSent.size() == 1);
  }
  SUBCASE("another copy takes the work, hedges and retries included")
  {
    rig.ListTarget("single-1", "single");
    for (int i = 0; i < 4; ++i) {
      const RequestNumber number = rig.Submit("/single/1");
      rig.Pass(milliseconds(200));
      rig.Break(rig.Open().back().mAttempt, AttemptFailure::ConnectionLost);
      rig.Pass(milliseconds(200));
      CHECK(rig.AnswerOf(number) != nullptr);
    }
    for (const SendAction& send : rig.mSent) {
      CHECK(send.mTarget == TargetName("single-1"));
    }
  }
}

// Guards against a limited target that is never asked again, because requests
// that have ended still count as waiting.
TEST_CASE("Requests that have ended do not keep others from a limited target")
{
  ForwardRig rig;
  rig.ListTarget("single-0", "single");
  rig.mEngine.SetNodes(std::vector<NodeName>(8, NodeName("n")), NodeName("n"));
  std::vector<RequestNumber> numbers;
  for (int i = 0; i < 60; ++i) {
    numbers.push_back(rig.Submit("/single/1"));
  }
  REQUIRE(!rig.Open().empty());
  NameRate(&rig, rig.Open().front().mAttempt, 1);
  for (const RequestNumber number : numbers) {
    rig.Take(rig.mEngine.OnCallerDisconnected(number, rig.mNow));
  }
  rig.Pass(seconds(60));
  rig.mSent.clear();
  rig.Submit("/single/1");
  CHECK(rig.mSent.size() == 1);
}

// Guards against queries that take what the targets offer for parts of answers
// that cannot be completed.
TEST_CASE("A query for which too few shards have room is refused as a whole")
{
  ForwardRig rig(4, 1.0);
  rig.ListAll();
  for (int i = 0; i < 20; ++i) {
    rig.Submit("/gather/1");
    for (const SendAction& send : rig.Open()) {
      const bool isLimited = send.mTarget.value().starts_with("s0");
      NameRate(
        &rig, send.mAttempt, isLimited ? std::optional(1.0) : std::nullopt);
    }
  }
  rig.mSent.clear();
  const RequestNumber query = rig.Submit("/gather/1");
  const RefusedOutcome* refused = rig.OutcomeOf<RefusedOutcome>(query);
  REQUIRE(refused != nullptr);
  CHECK(refused->mReason == RefusalReason::TargetsHeld);
  CHECK(rig.mSent.empty());
}

TEST_CASE("Hedges leave the rest of a named rate to first attempts")
{
  const Instant now(seconds(1000));
  TargetGate gate(now);
  TargetRateShares shares;
  shares.mNamed = RateShare{ 4, 4 };
  const Instant full = now + seconds(2);
  CHECK(gate.Decide(shares, AttemptPurpose::Hedge, 0, full).MaySend());
  for (int i = 0; i < 3; ++i) {
    gate.OnSent(shares, full);
  }
  CHECK(!gate.Decide(shares, AttemptPurpose::Hedge, 0, full).MaySend());
  CHECK(gate.Decide(shares, AttemptPurpose::First, 0, full).MaySend());
  gate.OnSent(shares, full);
  const GateDecision held = gate.Decide(shares, AttemptPurpose::First, 0, full);
  CHECK(held.mReason == HoldReason::NamedRate);
  REQUIRE(held.mEndsAt.has_value());
  CHECK(*held.mEndsAt > full + milliseconds(249));
  CHECK(*held.mEndsAt < full + milliseconds(251));
}

} // namespace verbenachute
