#include "GateFixture.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

/// Sub-queries that the gate has at the target when many are offered.
std::size_t
AtOnce(GateFixture& aFixture)
{
  static std::uint64_t sAttempt = 5000;
  aFixture.mActions.clear();
  for (int count = 0; count < 10; ++count) {
    aFixture.Submit(aFixture.Make(++sAttempt, milliseconds(900)));
  }
  return aFixture.mGate->InHand(aFixture.mBucket) -
         (10 - aFixture.Count<SendToTarget>());
}

} // namespace

TEST_CASE("What makes a warm target count as cold or colder")
{
  struct Row
  {
    const char* mName;
    void (*mEvent)(GateFixture&);
    std::size_t mAtOnce;
  };
  const Row rows[] = {
    { "nothing", [](GateFixture&) {}, 5 },
    { "a new holder",
      [](GateFixture& aFixture) {
        aFixture.Note(
          aFixture.mGate->OnBucketGained(aFixture.mBucket, aFixture.mNow));
      },
      1 },
    { "a crash and its return",
      [](GateFixture& aFixture) {
        aFixture.Submit(1);
        const DispatchId id = aFixture.Last<SendToTarget>().mDispatch;
        aFixture.Note(aFixture.mGate->OnConnectionLost(id, aFixture.mNow));
        aFixture.Wait(seconds(2));
        aFixture.Note(
          aFixture.mGate->OnProbeReply(aFixture.mTarget, {}, aFixture.mNow));
      },
      1 },
    { "a broken idle connection",
      [](GateFixture& aFixture) {
        aFixture.Note(aFixture.mGate->OnIdleConnectionLost(aFixture.mTarget,
                                                           aFixture.mNow));
      },
      1 },
    { "a long time without work",
      [](GateFixture& aFixture) { aFixture.Wait(seconds(31)); },
      1 },
    { "a pause of the holder",
      [](GateFixture& aFixture) { aFixture.Freeze(milliseconds(200)); },
      1 },
    { "another address",
      [](GateFixture& aFixture) {
        TargetEntry entry = aFixture.mConfiguration.mEntries.begin()->second;
        entry.mAddress.mPort = 9002;
        aFixture.mConfiguration.Add(entry);
        aFixture.mConfiguration.mRevision = Revision(2);
        aFixture.Configure();
      },
      1 },
    { "its domain taken out and back",
      [](GateFixture& aFixture) {
        aFixture.mConfiguration.mTakenOut.insert(FailureDomain("caxias-a"));
        aFixture.mConfiguration.mRevision = Revision(2);
        aFixture.Configure();
        aFixture.mConfiguration.mTakenOut.clear();
        aFixture.mConfiguration.mRevision = Revision(3);
        aFixture.Configure();
      },
      1 },
    { "work that was shed",
      [](GateFixture& aFixture) {
        aFixture.Submit(1);
        aFixture.Reply(aFixture.Last<SendToTarget>().mDispatch,
                       TargetVerdict::Shed);
      },
      2 },
    { "a slow answer",
      [](GateFixture& aFixture) {
        aFixture.Submit(1);
        aFixture.mNow += milliseconds(100);
        aFixture.Reply(aFixture.Last<SendToTarget>().mDispatch);
      },
      2 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    GateFixture fixture({}, 5, 100);
    fixture.Warm();
    row.mEvent(fixture);
    CHECK(AtOnce(fixture) == row.mAtOnce);
  }
}

TEST_CASE("The limit doubles with answers and never passes the slots")
{
  ColdStartRamp ramp;
  Instant now{ seconds(1) };
  ramp.Reset(now);
  std::vector<std::uint32_t> limits;
  for (int answer = 0; answer < 40; ++answer) {
    now += milliseconds(1);
    ramp.OnSuccess(now, now, 6);
    if (limits.empty() || limits.back() != ramp.Limit(6)) {
      limits.push_back(ramp.Limit(6));
    }
  }
  CHECK(limits == std::vector<std::uint32_t>{ 1, 2, 4, 6 });
  // Answers to work that was sent before the last change count for nothing.
  const Instant early = now;
  now += milliseconds(1);
  ramp.OnStrain(now, now);
  ramp.OnStrain(early, now);
  CHECK(ramp.Limit(6) == 3);
}

TEST_CASE("Probes alone do not raise a draining target, and 410 lasts")
{
  TargetJudge judge;
  const Instant start{ seconds(1) };
  judge.OnProbeReply(start);
  CHECK(judge.ConditionOf(Warmth::Warm) == TargetCondition::Ready);
  CHECK(judge.ConditionOf(Warmth::Cold) == TargetCondition::Warming);
  judge.OnDraining(start);
  judge.OnReply();
  judge.OnProbeReply(start + seconds(29));
  CHECK(judge.ConditionOf(Warmth::Warm) == TargetCondition::Draining);
  CHECK(judge.OnProbeReply(start + seconds(30)) == JudgeChange::Returned);
  CHECK(judge.TakesWork());
  judge.OnProbeFailed();
  CHECK(judge.TakesWork());
  CHECK(judge.OnProbeFailed() == JudgeChange::Lost);
  CHECK(judge.ConditionOf(Warmth::Warm) == TargetCondition::Down);
}

} // namespace verbenachute
