#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/Error.h>
#include <LibQuery/QueryPlan.h>
#include <LibQuery/ReplicaSelector.h>
#include <LibQuery/TargetCatalogue.h>

#include <pcg_random.hpp>

#include <cstdint>
#include <map>
#include <memory>
#include <utility>
#include <vector>

namespace verbenachute {

/// Plans queries: one index version each, and for each shard the replicas in
/// the order in which to try them.
class QueryPlanner
{
public:
  QueryPlanner(TargetCatalogue& aCatalogue,
               ReplicaSelector& aSelector,
               pcg32 aRandom);

  /// Plans with this view from now on. Before the first call no query can be
  /// planned.
  void SetConfiguration(std::shared_ptr<const ConfigurationView> aView);

  /// Plans a query of a caller, passing over the excluded versions. Errors are
  /// those of SnapshotChooser, Unavailable without a configuration, and
  /// NotFound for a service without targets; all of step Plan.
  [[nodiscard]] Result<QueryPlan> Plan(
    const ServiceName& aService,
    const CallerId& aCaller,
    const std::vector<IndexVersion>& aExcluded,
    Instant aNow);

private:
  struct Choice
  {
    Revision mRevision;
    std::uint64_t mGeneration = 0;
    QueryPlan mPlan;
  };

  /// Whether the next shard is to try a warming replica first.
  [[nodiscard]] bool IsWarmUpDue();
  [[nodiscard]] Result<QueryPlan> Choose(
    const ServiceName& aService,
    const CallerId& aCaller,
    const std::vector<IndexVersion>& aExcluded);

  TargetCatalogue& mCatalogue;
  ReplicaSelector& mSelector;
  pcg32 mRandom;
  std::uint32_t mPlansToWarmUp;
  std::shared_ptr<const ConfigurationView> mView;
  /// The choice depends on these two alone while configuration and catalogue
  /// stand still, and asking the view for each replica is costly.
  std::map<std::pair<ServiceName, CallerId>, Choice> mChoices;
};

} // namespace verbenachute
