#include "FaultPlan.h"

#include <algorithm>
#include <iterator>
#include <random>

namespace verbenachute::standins {

namespace {

struct Shape
{
  FaultKind mKind;
  const char* mName;
  int mShortestMs;
  int mLongestMs;
  /// How often it is drawn, relative to the others.
  unsigned mWeight;
};

constexpr Shape kShapes[] = {
  { FaultKind::NodeKilled, "node_killed", 300, 2000, 3 },
  { FaultKind::NodeStopped, "node_stopped", 500, 1500, 3 },
  { FaultKind::NodeFrozen, "node_frozen", 300, 4000, 3 },
  { FaultKind::NodeReloaded, "node_reloaded", 0, 0, 1 },
  { FaultKind::AllNodesKilled, "all_nodes_killed", 300, 1000, 1 },
  { FaultKind::StoreRefusing, "store_refusing", 500, 5000, 2 },
  { FaultKind::StoreSilent, "store_silent", 500, 5000, 2 },
  { FaultKind::StoreSlow, "store_slow", 1000, 4000, 1 },
  { FaultKind::StoreLosingAnswers, "store_losing_answers", 1000, 4000, 1 },
  { FaultKind::StoreRestored, "store_restored", 300, 2000, 1 },
  { FaultKind::StoreForgetting, "store_forgetting", 0, 0, 1 },
  { FaultKind::SearcherCrashed, "searcher_crashed", 300, 4000, 3 },
  { FaultKind::SearcherHung, "searcher_hung", 500, 3000, 2 },
  { FaultKind::SearcherSlow, "searcher_slow", 1000, 5000, 2 },
  { FaultKind::SearcherFailing, "searcher_failing", 1000, 4000, 2 },
  { FaultKind::SearcherLosing, "searcher_losing", 1000, 4000, 1 },
  { FaultKind::SearcherDrained, "searcher_drained", 4000, 6000, 2 },
  { FaultKind::SearcherEndless, "searcher_endless", 500, 2000, 1 },
  { FaultKind::SearchersColdAgain, "searchers_cold_again", 500, 1500, 2 },
  { FaultKind::ShardDown, "shard_down", 500, 3000, 1 },
  { FaultKind::PlanChanged, "plan_changed", 0, 0, 3 },
  { FaultKind::PlanStorm, "plan_storm", 0, 0, 1 },
  { FaultKind::LargePlanStorm, "large_plan_storm", 0, 0, 1 },
  { FaultKind::DomainEvacuated, "domain_evacuated", 6000, 8000, 2 },
  { FaultKind::DomainOutByOperator, "domain_out", 6000, 8000, 2 },
};

/// Faults a second, while they come.
constexpr double kFaultsPerSecond = 0.7;
/// Calm part at the end.
constexpr Duration kCalm = seconds(9);

const Shape&
ShapeOf(FaultKind aKind)
{
  return *std::find_if(
    std::begin(kShapes), std::end(kShapes), [aKind](const Shape& aShape) {
      return aShape.mKind == aKind;
    });
}

} // namespace

const char*
FaultName(FaultKind aKind)
{
  return ShapeOf(aKind).mName;
}

std::vector<PlannedFault>
DrawFaults(std::uint64_t aSeed, Duration aLength)
{
  std::mt19937_64 random(aSeed);
  std::vector<double> weights;
  for (const Shape& shape : kShapes) {
    weights.push_back(shape.mWeight);
  }
  std::discrete_distribution<std::size_t> kind(weights.begin(), weights.end());
  std::exponential_distribution<double> gap(kFaultsPerSecond);
  std::vector<PlannedFault> faults;
  Duration at = seconds(1);
  while (true) {
    at += std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(random)));
    const Shape& shape = kShapes[kind(random)];
    const milliseconds length(std::uniform_int_distribution<int>(
      shape.mShortestMs, shape.mLongestMs)(random));
    if (at + kCalm >= aLength) {
      return faults;
    }
    const Duration fits = std::min<Duration>(length, aLength - kCalm - at);
    faults.push_back(PlannedFault{ shape.mKind, at, fits, random() % 1000 });
  }
}

} // namespace verbenachute::standins
