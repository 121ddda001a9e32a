#include "FakeConfiguration.h"

#include <LibQuery/TargetCatalogue.h>

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

namespace {

NodeIdentity
Holder(const char* aName, std::uint64_t aIncarnation)
{
  return { NodeName(aName), Incarnation(aIncarnation) };
}

TargetState
State(const char* aTarget,
      std::uint64_t aSequence,
      std::vector<HeldVersion> aVersions = {})
{
  return {
    TargetName(aTarget), TargetCondition::Ready, std::move(aVersions), aSequence
  };
}

HeldVersion
Held(std::uint64_t aVersion,
     std::uint32_t aCount,
     std::vector<ShardId> aShards = { ShardId(0) })
{
  return { IndexVersion(aVersion), aCount, std::move(aShards) };
}

} // namespace

TEST_CASE("The newest report of the latest life wins")
{
  struct Row
  {
    std::string mWhat;
    NodeIdentity mHolder;
    std::uint64_t mSequence;
    ReportVerdict mVerdict;
  };
  // The rows are one history of one target.
  const std::vector<Row> rows = {
    { "first", Holder("a", 5), 10, ReportVerdict::Taken },
    { "repeat", Holder("a", 5), 10, ReportVerdict::Outdated },
    { "reordered", Holder("a", 5), 9, ReportVerdict::Outdated },
    { "other holder, older", Holder("b", 1), 10, ReportVerdict::Outdated },
    { "other holder, newer", Holder("b", 1), 11, ReportVerdict::Taken },
    { "first holder again", Holder("a", 5), 12, ReportVerdict::Taken },
    { "its next life starts low", Holder("a", 6), 1, ReportVerdict::Taken },
    { "its earlier life is over", Holder("a", 5), 99, ReportVerdict::DeadLife },
    { "its reports go on", Holder("a", 6), 2, ReportVerdict::Taken },
  };
  TargetCatalogue catalogue;
  for (const Row& row : rows) {
    CAPTURE(row.mWhat);
    const ReportVerdict verdict =
      catalogue.Apply(row.mHolder, State("t", row.mSequence));
    CHECK(static_cast<int>(verdict) == static_cast<int>(row.mVerdict));
  }
}

TEST_CASE("A lost holder's reports lose to anyone's and come no more")
{
  TargetCatalogue catalogue;
  REQUIRE(catalogue.Apply(Holder("a", 5), State("t", 10)) ==
          ReportVerdict::Taken);
  CHECK(catalogue.NextSequence(TargetName("t")) == 11);
  catalogue.HolderLost(Holder("a", 5));
  CHECK(catalogue.Find(TargetName("t")) != nullptr);
  CHECK(catalogue.Apply(Holder("a", 5), State("t", 11)) ==
        ReportVerdict::DeadLife);
  CHECK(catalogue.Apply(Holder("b", 1), State("t", 1)) == ReportVerdict::Taken);
  CHECK(catalogue.Apply(Holder("a", 6), State("t", 2)) == ReportVerdict::Taken);
}

TEST_CASE("Targets that disagree on a shard count share no map")
{
  FakeConfiguration view;
  TargetCatalogue catalogue;
  const NodeIdentity holder = Holder("a", 1);
  const auto report = [&](const char* aTarget, HeldVersion aHeld) {
    view.mTargets.emplace_back(aTarget);
    (void)catalogue.Apply(holder, State(aTarget, 1, { std::move(aHeld) }));
  };
  report("t1", Held(7, 2));
  report("t2", Held(7, 2, { ShardId(1), ShardId(1), ShardId(9) }));
  report("t3", Held(7, 1));
  report("t4", Held(8, 1));
  report("t5", Held(8, 2));
  report("t6", Held(9, 0));
  report("t7", Held(9, kMaximumShardCount + 1));
  const std::vector<ShardMap>& maps =
    catalogue.ShardMapsOf(view.mService, view);
  REQUIRE(maps.size() == 1);
  CHECK(maps[0].mVersion == IndexVersion(7));
  REQUIRE(maps[0].mReplicas.size() == 2);
  CHECK(maps[0].mReplicas[0].size() == 1);
  CHECK(maps[0].mReplicas[1].size() == 1);
  report("t8", Held(8, 2));
  CHECK(catalogue.VersionsOf(view.mService, view) ==
        std::vector<IndexVersion>{ IndexVersion(8), IndexVersion(7) });
}

} // namespace verbenachute
