#pragma once

#include <LibRollout/RolloutReport.h>

#include <map>
#include <vector>

namespace verbenachute {

/// Merges the reports of the nodes on one order. Counts of an incarnation that
/// has ended are kept, so that no request to the new version is forgotten.
class RolloutTotals
{
public:
  /// Ignores repeated and older reports.
  void OnReport(const RolloutReport& aReport);
  /// Sum over all nodes that have reported.
  [[nodiscard]] RolloutCounts Sum() const;
  /// Whether each of the nodes has reported that it has switched and that
  /// nothing of it runs at the old version.
  [[nodiscard]] bool HaveLeftOldVersion(
    const std::vector<NodeName>& aNodes) const;

private:
  std::map<NodeName, RolloutReport> mLatest;
  /// Counts of ended incarnations.
  RolloutCounts mEnded;
};

} // namespace verbenachute
