#pragma once

#include <LibCore/Time.h>

#include <cstdint>
#include <vector>

namespace verbenachute::standins {

/// What goes wrong, or is done on purpose, in a soak.
enum class FaultKind
{
  NodeKilled,
  NodeStopped,
  NodeFrozen,
  NodeReloaded,
  AllNodesKilled,
  StoreRefusing,
  StoreSilent,
  StoreSlow,
  StoreLosingAnswers,
  StoreRestored,
  StoreForgetting,
  SearcherCrashed,
  SearcherHung,
  SearcherSlow,
  SearcherFailing,
  SearcherLosing,
  SearcherDrained,
  SearcherEndless,
  SearchersColdAgain,
  ShardDown,
  PlanChanged,
  PlanStorm,
  LargePlanStorm,
  DomainEvacuated,
  DomainOutByOperator,
};

[[nodiscard]] const char*
FaultName(FaultKind aKind);

/// One fault of a schedule.
struct PlannedFault
{
  FaultKind mKind = FaultKind::NodeKilled;
  Duration mAt{ 0 };
  Duration mLength{ 0 };
  /// Which node, searcher, shard or domain, to be taken modulo their number.
  std::size_t mWhich = 0;
};

/// The faults of a seed, in the order of their times. They come in series and
/// overlap; the last part of the run is left calm, so that recovery shows.
[[nodiscard]] std::vector<PlannedFault>
DrawFaults(std::uint64_t aSeed, Duration aLength);

} // namespace verbenachute::standins
