#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/Error.h>
#include <LibQuery/QueryPlan.h>
#include <LibQuery/ShardMap.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// Chooses the index version of a query: the newest whose every shard has a
/// usable replica, else the one with the largest share of usable shards, the
/// newer of equals.
class SnapshotChooser
{
public:
  SnapshotChooser(const ConfigurationView& aView, CallerId aCaller);

  /// Chooses among shard maps that stand newest first, passing over aExcluded.
  /// Candidates of the plan are in the order of the map. Errors, all of step
  /// Plan: Unavailable when no version has a usable shard, Forbidden when the
  /// configuration admits the caller to none of the targets.
  [[nodiscard]] Result<QueryPlan> Choose(
    const std::vector<ShardMap>& aMaps,
    const std::vector<IndexVersion>& aExcluded);

private:
  struct Candidate
  {
    QueryPlan mPlan;
    std::size_t mUsableShards = 0;
  };

  [[nodiscard]] Candidate Weigh(const ShardMap& aMap);
  [[nodiscard]] bool IsUsable(const ShardReplica& aReplica);

  const ConfigurationView& mView;
  CallerId mCaller;
  std::size_t mAdmitted = 0;
  std::size_t mNotForCaller = 0;
};

} // namespace verbenachute
