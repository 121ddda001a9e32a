#include "ForwardRig.h"

#include <LibForward/PoisonDetector.h>
#include <LibForward/QuantileTracker.h>
#include <LibForward/RecordMerger.h>
#include <LibForward/RouteStatistics.h>
#include <LibForward/TargetRecord.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <random>

namespace verbenachute {

namespace {

ListedTarget
Target(const char* aName)
{
  ListedTarget target;
  target.mName = TargetName(aName);
  target.mSlots = 2;
  return target;
}

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

constexpr Duration kMedianLatency = milliseconds(10);

PartReply
Answered()
{
  PartReply reply;
  reply.mKind = ReplyKind::Answered;
  return reply;
}

} // namespace

TEST_CASE("The greatest records come first, equal ones all count")
{
  const std::string one = Record('b') + Record('z') + "short";
  const std::string other = Record('\xf0') + Record('z') + Record('a');
  CHECK(MergeTopRecords({ one, other }, 3) ==
        Record('\xf0') + Record('z') + Record('z'));
  CHECK(MergeTopRecords({ one, other }, 9).size() == 5 * kRecordBytes);
  CHECK(MergeTopRecords({}, 3).empty());
}

TEST_CASE("A quantile estimate converges to the quantile of the samples")
{
  std::mt19937 random(7);
  QuantileTracker quantile(0.85, milliseconds(1));
  for (int i = 0; i < 5000; ++i) {
    quantile.Observe(milliseconds(random() % 100 + 1));
  }
  CHECK(quantile.Estimate() > milliseconds(75));
  CHECK(quantile.Estimate() < milliseconds(94));
}

TEST_CASE("Requests of a split follow the weights closely at any time")
{
  Route route;
  RouteStatistics statistics(route);
  const std::vector<WeightedService> services = { { ServiceName("a"), 7 },
                                                  { ServiceName("b"), 2 },
                                                  { ServiceName("c"), 0 } };
  std::map<std::size_t, int> counts;
  for (int i = 1; i <= 900; ++i) {
    ++counts[statistics.NextService(services)];
    CHECK(std::abs(counts[0] - i * 7.0 / 9) <= 1);
  }
  CHECK(counts[2] == 0);
}

TEST_CASE("The time that a caller spent earlier is derived from the time left")
{
  Route route;
  RouteStatistics statistics(route);
  statistics.ObserveTimeLimit(milliseconds(600));
  CHECK(statistics.TimeSpentBefore(milliseconds(600)) == Duration(0));
  CHECK(statistics.TimeSpentBefore(milliseconds(520)) == milliseconds(80));
}

TEST_CASE("A target that lets an attempt wait is stalled until it answers")
{
  const Instant start(seconds(1));
  TargetRecord target(Target("t"), start);
  target.OnSent(AttemptId(1), milliseconds(20), start);
  CHECK(!target.IsStalled(start + milliseconds(20)));
  CHECK(target.IsStalled(start + milliseconds(30)));
  const Duration stalled =
    target.ExpectedLatency(kMedianLatency, start + milliseconds(30));
  target.OnReply(
    AttemptId(1), Answered(), kMedianLatency, start + milliseconds(30));
  CHECK(!target.IsStalled(start + milliseconds(30)));
  CHECK(stalled >
        target.ExpectedLatency(kMedianLatency, start + milliseconds(30)));
}

TEST_CASE("Slowness is learnt from answers and fades without them")
{
  const Instant start(seconds(1));
  TargetRecord target(Target("t"), start);
  Instant now = start;
  for (std::uint64_t i = 1; i <= 20; ++i) {
    target.OnSent(AttemptId(i), milliseconds(20), now);
    now += milliseconds(80);
    target.OnReply(AttemptId(i), Answered(), kMedianLatency, now);
  }
  CHECK(target.ExpectedLatency(kMedianLatency, now) > milliseconds(60));
  CHECK(target.ExpectedLatency(kMedianLatency, now + seconds(20)) <
        milliseconds(12));
}

TEST_CASE("A target that does not answer is down, and tried again later")
{
  const Instant start(seconds(1));
  TargetRecord target(Target("t"), start);
  target.OnSent(AttemptId(1), milliseconds(20), start);
  target.OnFailure(AttemptId(1), AttemptFailure::NotSent, start);
  CHECK(target.IsDown(start));
  CHECK(!target.IsDown(start + seconds(2)));
  SUBCASE("a new life begins without history")
  {
    ListedTarget again = Target("t");
    again.mStartTime = UnixMilliseconds(5);
    target.Update(again, start);
    CHECK(!target.IsDown(start));
  }
  SUBCASE("an answer ends it")
  {
    target.OnSent(AttemptId(2), milliseconds(20), start);
    target.OnReply(AttemptId(2), Answered(), kMedianLatency, start);
    CHECK(!target.IsDown(start));
  }
}

TEST_CASE("A request is poisonous after three targets without an answer")
{
  const Instant now(seconds(1));
  PoisonDetector detector;
  const Fingerprint fingerprint(1);
  detector.OnPoisonObservation({ fingerprint, TargetName("a") }, now);
  detector.OnPoisonObservation({ fingerprint, TargetName("b") }, now);
  detector.OnPoisonObservation({ fingerprint, TargetName("b") }, now);
  CHECK(!detector.IsPoisonous(fingerprint, now));
  detector.OnPoisonObservation({ fingerprint, TargetName("c") }, now);
  CHECK(detector.IsPoisonous(fingerprint, now));
  CHECK(!detector.IsPoisonous(Fingerprint(2), now));
  CHECK(!detector.IsPoisonous(fingerprint, now + seconds(61)));
  detector.OnAnswered(fingerprint);
  CHECK(!detector.IsPoisonous(fingerprint, now));
}

// Guards against convictions that nodes keep alive by telling each other.
TEST_CASE("A conviction that nodes tell each other expires everywhere")
{
  const Fingerprint fingerprint(1);
  Instant now(seconds(1000));
  PoisonDetector first;
  PoisonDetector second;
  for (const char* target : { "a", "b", "c" }) {
    first.OnPoisonObservation({ fingerprint, TargetName(target) }, now);
  }
  const Instant convicted = now;
  const auto tell = [&](const PoisonDetector& aFrom, PoisonDetector* aTo) {
    for (const PoisonConviction& conviction : aFrom.Convictions(now)) {
      aTo->OnConviction(conviction, now + milliseconds(50));
    }
  };
  for (; now < convicted + seconds(200); now += milliseconds(250)) {
    tell(first, &second);
    tell(second, &first);
    const bool expected = now - convicted < seconds(60);
    if (now < convicted + seconds(59) || now > convicted + seconds(62)) {
      CHECK(first.IsPoisonous(fingerprint, now) == expected);
      CHECK(second.IsPoisonous(fingerprint, now + milliseconds(50)) ==
            expected);
    }
  }
  CHECK(second.OnConviction({ fingerprint, Duration(-1) }, now) ==
        PoisonChange::None);
  CHECK(second.OnConviction({ fingerprint, seconds(61) }, now) ==
        PoisonChange::None);
}

TEST_CASE("The number of requests that are tracked as poisonous is limited")
{
  PoisonDetector detector;
  for (std::uint64_t i = 0; i < 5000; ++i) {
    const Instant now{ milliseconds(i) };
    for (const char* target : { "a", "b", "c" }) {
      detector.OnPoisonObservation({ Fingerprint(i), TargetName(target) }, now);
    }
  }
  CHECK(!detector.IsPoisonous(Fingerprint(0), Instant(milliseconds(5000))));
  CHECK(detector.IsPoisonous(Fingerprint(4999), Instant(milliseconds(5000))));
}

TEST_CASE("Requests stay in the own domain until a queue builds up there")
{
  // Load as on a busy day of gelovolta-busca: each shard has a target in two of
  // three domains, a third of the slots is in use, and bytes between domains
  // are paid for.
  ForwardSettings settings = ForwardRig::Defaults();
  settings.mDomain = FailureDomain("own");
  const auto sendsTo = [](const ForwardRig& aRig, const char* aTarget) {
    return std::count_if(
      aRig.mSent.begin(), aRig.mSent.end(), [&](const SendAction& aSend) {
        return aSend.mTarget.value() == aTarget;
      });
  };
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    settings.mSeed = seed;
    ForwardRig rig(1, 1, settings);
    for (const char* name : { "own", "far" }) {
      ListedTarget target;
      target.mName = TargetName(name);
      target.mService = ServiceName("single");
      target.mDomain = FailureDomain(name);
      target.mSlots = 2;
      rig.mEngine.Targets().List(target, rig.mNow);
    }
    rig.Submit("/single/a");
    rig.Submit("/single/b");
    CHECK(sendsTo(rig, "own") == 2);
    for (int i = 0; i < 3; ++i) {
      rig.Submit("/single/c");
    }
    CHECK(sendsTo(rig, "far") >= 1);
  }
}

} // namespace verbenachute
