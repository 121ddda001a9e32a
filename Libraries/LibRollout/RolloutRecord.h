#pragma once

#include <LibCore/Time.h>
#include <LibStore/StoreItem.h>

#include <string>
#include <vector>

namespace verbenachute {

enum class RolloutPhase
{
  /// No record of the order is known.
  Unknown,
  /// A small share of the requests goes to the new version.
  Canary,
  /// All new requests go to the new version.
  Switching,
  Done,
  RolledBack,
};

/// What this product stores about an order.
struct RolloutRecord
{
  RolloutPhase mPhase = RolloutPhase::Unknown;
  StoreRevision mOrder;
  /// Versions that served before the order.
  std::vector<std::string> mOldVersions;
  /// Time of the order as the first coordinator saw it. Used only by nodes that
  /// can not learn it from a peer, since wall clocks may jump.
  UnixMilliseconds mStartTime{ 0 };

  friend bool operator==(const RolloutRecord&, const RolloutRecord&) = default;
};

} // namespace verbenachute
