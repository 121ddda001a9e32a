#include "FakeConfiguration.h"

#include <LibQuery/QueryPlanner.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr int kPlans = 3200;

// How many of kPlans plans try a target first.
int
FirstChoices(TargetCondition aOther, const TargetName& aCounted)
{
  const ServiceName service("service");
  const NodeIdentity holder{ NodeName("node"), Incarnation(1) };
  const std::vector<HeldVersion> held{ HeldVersion{
    IndexVersion(1), 1, { ShardId(0) } } };
  TargetCatalogue catalogue;
  ReplicaSelector selector;
  QueryPlanner planner(catalogue, selector, pcg32(5));
  const std::shared_ptr<FakeConfiguration> view =
    std::make_shared<FakeConfiguration>();
  view->mService = service;
  view->mTargets = { TargetName("other"), TargetName("ready") };
  planner.SetConfiguration(view);
  catalogue.Apply(
    holder,
    TargetState{ TargetName("ready"), TargetCondition::Ready, held, 1 });
  catalogue.Apply(holder, TargetState{ TargetName("other"), aOther, held, 1 });
  int count = 0;
  for (int number = 0; number < kPlans; ++number) {
    const Result<QueryPlan> plan =
      planner.Plan(service, CallerId("caller"), {}, Instant(seconds(1)));
    REQUIRE(!IsError(plan));
    REQUIRE(ValueOf(plan).mCandidates[0].size() == 2);
    if (ValueOf(plan).mCandidates[0][0].mTarget == aCounted) {
      ++count;
    }
  }
  return count;
}

} // namespace

// Without work a target never leaves its cold start, and its shard has no
// second replica to hedge with.
TEST_CASE("A warming target gets a small share of first attempts")
{
  const int share = FirstChoices(TargetCondition::Warming, TargetName("other"));
  CHECK(share >= kPlans / 64);
  CHECK(share <= kPlans / 16);
}

TEST_CASE("Ready targets share first attempts evenly")
{
  const int share = FirstChoices(TargetCondition::Ready, TargetName("other"));
  CHECK(share >= kPlans / 3);
  CHECK(share <= kPlans * 2 / 3);
}

} // namespace verbenachute
