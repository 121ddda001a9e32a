#include "FakeConfiguration.h"

#include <LibQuery/SnapshotChooser.h>

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

namespace {

// One letter a replica, one word a shard: r ready, w warming, d draining,
// x down, c ready but not for this caller, n ready but takes no new work.
ShardMap
Map(std::uint64_t aVersion, const std::vector<std::string>& aShards)
{
  ShardMap map{ IndexVersion(aVersion), {} };
  for (const std::string& shard : aShards) {
    std::vector<ShardReplica>& replicas = map.mReplicas.emplace_back();
    for (const char letter : shard) {
      const TargetCondition condition =
        letter == 'w'   ? TargetCondition::Warming
        : letter == 'd' ? TargetCondition::Draining
        : letter == 'x' ? TargetCondition::Down
                        : TargetCondition::Ready;
      replicas.push_back({ TargetName(std::string(1, letter)), condition });
    }
  }
  return map;
}

} // namespace

TEST_CASE("The newest whole version is chosen, else the largest coverage")
{
  struct Row
  {
    std::string mWhat;
    std::vector<ShardMap> mMaps;
    std::vector<IndexVersion> mExcluded;
    /// 0 for an error of the code.
    std::uint64_t mVersion;
    ErrorCode mCode = ErrorCode::Internal;
  };
  const IndexVersion nine(9);
  const std::vector<Row> rows = {
    { "newest", { Map(9, { "r", "w" }), Map(8, { "r" }) }, {}, 9 },
    { "hole", { Map(9, { "r", "" }), Map(8, { "r", "r" }) }, {}, 8 },
    { "down", { Map(9, { "r", "x" }), Map(8, { "w", "r" }) }, {}, 8 },
    { "draining", { Map(9, { "d", "r" }), Map(8, { "r", "r" }) }, {}, 8 },
    { "domain out", { Map(9, { "n", "r" }), Map(8, { "r" }) }, {}, 8 },
    { "one replica left", { Map(9, { "nxr", "dr" }), Map(8, { "r" }) }, {}, 9 },
    { "none whole, larger",
      { Map(9, { "r", "" }), Map(8, { "r", "r", "" }) },
      {},
      8 },
    { "none whole, tie", { Map(9, { "r", "" }), Map(8, { "", "r" }) }, {}, 9 },
    { "excluded", { Map(9, { "r" }), Map(8, { "r", "" }) }, { nine }, 8 },
    { "nothing", {}, {}, 0, ErrorCode::Unavailable },
    { "all down", { Map(9, { "x" }) }, {}, 0, ErrorCode::Unavailable },
    { "other callers'", { Map(9, { "c" }) }, {}, 0, ErrorCode::Forbidden },
    { "only excluded",
      { Map(9, { "r" }) },
      { nine },
      0,
      ErrorCode::Unavailable },
  };
  FakeConfiguration view;
  view.mAdmittances[TargetName("c")] = Admittance::NotForCaller;
  view.mAdmittances[TargetName("n")] = Admittance::NoNewWork;
  for (const Row& row : rows) {
    CAPTURE(row.mWhat);
    SnapshotChooser chooser(view, CallerId("van-17"));
    const Result<QueryPlan> plan = chooser.Choose(row.mMaps, row.mExcluded);
    if (row.mVersion == 0) {
      REQUIRE(IsError(plan));
      CHECK(ErrorOf(plan).mStep == Step::Plan);
      CHECK(ErrorOf(plan).mCode == row.mCode);
      continue;
    }
    REQUIRE(!IsError(plan));
    CHECK(ValueOf(plan).mVersion == IndexVersion(row.mVersion));
    CHECK(ValueOf(plan).mCandidates.size() == ValueOf(plan).mShardCount);
  }
}

} // namespace verbenachute
