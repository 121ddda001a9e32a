#include <LibQuery/CrashGuard.h>
#include <LibQuery/HedgePolicy.h>
#include <LibQuery/LatencyEstimator.h>
#include <LibQuery/QueryEngineBuilder.h>
#include <LibQuery/ReplicaSelector.h>
#include <LibQuery/RetryBudget.h>
#include <LibQuery/SuspectTable.h>

#include <doctest/doctest.h>

#include <map>
#include <string>

namespace verbenachute {

namespace {

const Instant kStart{ seconds(100) };

std::vector<ShardReplica>
Replicas(const std::vector<std::string>& aNames)
{
  std::vector<ShardReplica> replicas;
  for (const std::string& name : aNames) {
    replicas.push_back({ TargetName(name), TargetCondition::Ready });
  }
  return replicas;
}

// How often each target comes first among a and the others in many orders.
std::map<std::string, int>
FirstChoices(ReplicaSelector& aSelector,
             const std::vector<std::string>& aNames,
             Instant aNow)
{
  constexpr int kDraws = 300;
  pcg32 random(11);
  std::map<std::string, int> firsts;
  for (int draw = 0; draw < kDraws; ++draw) {
    std::vector<ShardReplica> replicas = Replicas(aNames);
    aSelector.Order(replicas, aNow, random);
    CHECK(replicas.size() == aNames.size());
    firsts[replicas.front().mTarget.value()] += 1;
  }
  return firsts;
}

} // namespace

TEST_CASE("A retry budget is a fixed share of first attempts, less overload")
{
  const CallerClass field("field");
  const CallerClass audit("audit");
  RetryBudget budget({ 50, 1000, 3000, 1000, 1000 });
  CHECK(budget.Spend(field, 1, Urgency::Deferrable) == Payment::Refused);
  CHECK(budget.Spend(field, 1, Urgency::Urgent) == Payment::Paid);
  CHECK(budget.Spend(field, 1, Urgency::Urgent) == Payment::Refused);
  CHECK(budget.Spend(audit, 1, Urgency::Urgent) == Payment::Paid);
  for (int attempt = 0; attempt < 20; ++attempt) {
    CHECK(budget.Spend(field, 1, Urgency::Urgent) == Payment::Refused);
    budget.OnFirstAttempt(field);
  }
  CHECK(budget.Balance(field) == 1000);
  CHECK(budget.Spend(field, 2, Urgency::Urgent) == Payment::Refused);
  budget.OnOverloaded(field);
  budget.OnOverloaded(field);
  CHECK(budget.Balance(field) == 0);
  for (int attempt = 0; attempt < 1000; ++attempt) {
    budget.OnFirstAttempt(field);
  }
  CHECK(budget.Balance(field) == 3000);
  CHECK(budget.Spend(field, 2, Urgency::Deferrable) == Payment::Paid);
}

TEST_CASE("A latency estimate follows the recent tail")
{
  LatencyEstimator estimator(0.95);
  CHECK(!estimator.Quantile().has_value());
  pcg32 random(3);
  const auto feed = [&](int aCount, int aLimit, Instant aNow) {
    for (int sample = 0; sample < aCount; ++sample) {
      estimator.Observe(Duration(random(aLimit)), aNow);
    }
  };
  feed(5000, 10'000, kStart);
  REQUIRE(estimator.Quantile().has_value());
  CHECK(estimator.Quantile()->count() == doctest::Approx(9500).epsilon(0.05));
  feed(5000, 1000, kStart + seconds(20));
  feed(1, 1000, kStart + seconds(40));
  CHECK(estimator.Quantile()->count() == doctest::Approx(950).epsilon(0.05));
  // Lower bounds count only where they tell something.
  LatencyEstimator bounded(0.5);
  for (int sample = 0; sample < 2000; ++sample) {
    bounded.Observe(Duration(100), kStart);
    bounded.ObserveAtLeast(Duration(sample % 2 == 0 ? 1 : 900), kStart);
  }
  CHECK(bounded.Quantile()->count() >= 99);
}

TEST_CASE("Each hedge mode waits as long as it says")
{
  LatencyEstimator latency(0.5);
  const auto delay = [&latency](HedgeMode aMode) {
    return HedgePolicy({ aMode, milliseconds(30), milliseconds(2) })
      .Delay(latency);
  };
  CHECK(delay(HedgeMode::None) == std::nullopt);
  CHECK(delay(HedgeMode::Fixed) == Duration(milliseconds(30)));
  CHECK(delay(HedgeMode::Adaptive) == std::nullopt);
  for (int sample = 0; sample < 200; ++sample) {
    latency.Observe(milliseconds(1), kStart);
  }
  CHECK(delay(HedgeMode::Adaptive) == Duration(milliseconds(2)));
}

TEST_CASE("Replicas are chosen by what was seen of them")
{
  ReplicaSelector selector;
  const auto end = [&](const char* aTarget,
                       ReplicaObservation aObservation,
                       Duration aElapsed) {
    selector.OnSent(TargetName(aTarget));
    selector.OnEnded(TargetName(aTarget), aObservation, aElapsed, kStart);
  };
  SUBCASE("equals share the work")
  {
    for (const auto& [name, count] :
         FirstChoices(selector, { "a", "b", "c" }, kStart)) {
      CAPTURE(name);
      CHECK(count > 70);
    }
  }
  SUBCASE("a slow, failing or busy one comes first when it is drawn alone")
  {
    end("a", ReplicaObservation::Answered, milliseconds(500));
    end("b", ReplicaObservation::Failed, milliseconds(1));
    selector.OnSent(TargetName("c"));
    std::map<std::string, int> firsts =
      FirstChoices(selector, { "a", "b", "c", "d" }, kStart);
    CHECK(firsts["a"] == 0);
    CHECK(firsts["d"] > firsts["c"]);
    CHECK(firsts["c"] > firsts["b"]);
  }
  SUBCASE("what was seen is forgotten")
  {
    end("a", ReplicaObservation::Overloaded, milliseconds(900));
    CHECK(FirstChoices(selector, { "a", "b" }, kStart)["a"] == 0);
    const Instant later = kStart + seconds(3600);
    CHECK(FirstChoices(selector, { "a", "b" }, later)["a"] > 100);
    selector.ForgetIdle(later);
    CHECK(FirstChoices(selector, { "a", "b" }, kStart)["a"] > 100);
  }
  SUBCASE("planned work counts until it is sent")
  {
    selector.Reserve(TargetName("a"));
    CHECK(FirstChoices(selector, { "a", "b" }, kStart)["a"] == 0);
    selector.ReleaseReserved();
    CHECK(FirstChoices(selector, { "a", "b" }, kStart)["a"] > 100);
  }
  SUBCASE("warming ones come last")
  {
    end("b", ReplicaObservation::Failed, milliseconds(900));
    std::vector<ShardReplica> replicas = Replicas({ "a", "b" });
    replicas[0].mCondition = TargetCondition::Warming;
    pcg32 random(1);
    selector.Order(replicas, kStart, random);
    CHECK(replicas[1].mTarget == TargetName("a"));
  }
}

TEST_CASE("A query that crashes targets is stopped, an innocent one goes on")
{
  const auto target = [](const char* aName) { return TargetName(aName); };
  SUBCASE("the second crash under caution ends sending")
  {
    CrashGuard guard(SendingState::Free);
    const Watch first = guard.OnSent();
    const Watch second = guard.OnSent();
    guard.OnCrashed(target("a"), first);
    guard.OnCrashed(target("b"), second);
    REQUIRE(guard.State() == SendingState::Cautious);
    const Watch probe = guard.OnSent();
    CHECK(!guard.MaySend());
    guard.OnCrashed(target("c"), probe);
    CHECK(guard.State() == SendingState::Ended);
    CHECK(guard.Crashed().size() == 3);
  }
  SUBCASE("each answer under caution allows one more at a time")
  {
    CrashGuard guard(SendingState::Free);
    guard.OnCrashed(target("a"), guard.OnSent());
    guard.OnAnswered(guard.OnSent());
    (void)guard.OnSent();
    CHECK(guard.MaySend());
    (void)guard.OnSent();
    CHECK(!guard.MaySend());
  }
  SUBCASE("a suspect that does no harm is free again")
  {
    CrashGuard guard(SendingState::Cautious);
    for (int answer = 0; answer < 7; ++answer) {
      REQUIRE(guard.State() == SendingState::Cautious);
      guard.OnAnswered(guard.OnSent());
    }
    CHECK(guard.State() == SendingState::Free);
  }
  SUBCASE("suspicion ends")
  {
    SuspectTable suspects;
    suspects.Suspect(Fingerprint(1), kStart);
    CHECK(suspects.IsSuspect(Fingerprint(1), kStart + seconds(59)));
    CHECK(!suspects.IsSuspect(Fingerprint(1), kStart + seconds(60)));
    suspects.Clear(Fingerprint(1));
    CHECK(!suspects.IsSuspect(Fingerprint(1), kStart));
  }
}

TEST_CASE("Settings out of range build no engine")
{
  CHECK(!IsError(QueryEngineBuilder().Seed(1).Build()));
  CHECK(IsError(QueryEngineBuilder().Limits(0, 1).Build()));
  CHECK(IsError(QueryEngineBuilder().Hedge({}, 1).Build()));
  HedgeSettings hedge;
  hedge.mMinimumDelay = Duration(0);
  CHECK(IsError(QueryEngineBuilder().Hedge(hedge, 0.9).Build()));
  CHECK(IsError(QueryEngineBuilder().Budget({ 1001, 0, 0, 0, 0 }).Build()));
  CHECK(IsError(QueryEngineBuilder().Budget({ 50, 2, 1, 0, 0 }).Build()));
  CHECK(IsError(
    QueryEngineBuilder().Timings({ Duration(-1), {}, seconds(1) }).Build()));
}

} // namespace verbenachute
