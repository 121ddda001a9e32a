#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/Tenant.h>

#include <functional>
#include <map>
#include <optional>
#include <vector>

namespace verbenachute {

/// Determines which nodes grant the tokens of each tenant, and which fraction
/// of these nodes this one sees.
class QuotaOwners
{
public:
  explicit QuotaOwners(Instant aStart);

  /// aCandidates are the nodes that may own tenants; aIsAlive tells of any node
  /// whether it is alive. Both as this node sees them now.
  void Update(std::vector<NodeName> aCandidates,
              const std::function<bool(const NodeName&)>& aIsAlive,
              Instant aNow);

  /// The candidate at a place in the tenant's order: 0 is the owner, 1 its
  /// deputy. Empty if there are fewer candidates.
  [[nodiscard]] std::optional<NodeName> At(const TenantName& aTenant,
                                           std::size_t aPlace) const;
  /// Fraction of the recent candidates that are alive, from 0 to 1. If the
  /// nodes are split into parts that do not see each other, the fractions of
  /// all parts add up to 1. It rises from 0 at the start of this node, which
  /// sees only itself at first.
  [[nodiscard]] double VisibleFraction(Instant aNow) const;
  /// Whether the candidates have been the same for at least this time, so that
  /// no other node has granted tokens of this one's tenants.
  [[nodiscard]] bool AreStableFor(Duration aTime, Instant aNow) const;

private:
  Instant mStart;
  std::vector<NodeName> mCandidates;
  /// When each node was a candidate last.
  std::map<NodeName, Instant> mLastSeen;
  std::size_t mAliveCount = 0;
  Instant mLastChange;
};

} // namespace verbenachute
