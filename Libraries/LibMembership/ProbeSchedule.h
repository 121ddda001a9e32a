#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <pcg_random.hpp>
#include <vector>

namespace verbenachute {

/// Chooses which nodes get a heartbeat in a period: all of the own cell, and
/// of the others a few in a random order in which each has its turn. So the
/// cost does not grow with the fleet, and every node is probed in bounded
/// time.
class ProbeSchedule
{
public:
  ProbeSchedule(std::size_t aCellSize,
                std::size_t aFarProbes,
                std::uint64_t aSeed);

  /// The nodes to probe now. aNear are the other nodes of the region, aAll
  /// those of all regions; both are ascending and without aSelf.
  [[nodiscard]] std::vector<NodeName> Next(const NodeName& aSelf,
                                           const std::vector<NodeName>& aNear,
                                           const std::vector<NodeName>& aAll);

  /// The nodes of a region that share a cell with aSelf. All nodes compute
  /// the same cells from the same names.
  [[nodiscard]] std::vector<NodeName> CellOf(
    const NodeName& aSelf,
    const std::vector<NodeName>& aNear) const;

private:
  void Refill(const std::vector<NodeName>& aAll);

  std::size_t mCellSize;
  std::size_t mFarProbes;
  pcg64 mRandom;
  /// Nodes that have not had their turn yet.
  std::vector<NodeName> mTurns;
};

} // namespace verbenachute
