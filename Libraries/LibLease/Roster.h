#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// The voters of a region. Voters are named without their incarnation: a
/// restarted voter waits until everything it may have granted has expired and
/// then votes on, so a restart changes no roster.
struct Roster
{
  RosterEpoch mEpoch;
  /// In ascending order, without duplicates.
  std::vector<NodeName> mVoters;

  /// Number of votes that make a majority; at least 1.
  [[nodiscard]] std::size_t Majority() const;
  [[nodiscard]] bool Contains(const NodeName& aNode) const;

  friend bool operator==(const Roster&, const Roster&) = default;
};

} // namespace verbenachute
