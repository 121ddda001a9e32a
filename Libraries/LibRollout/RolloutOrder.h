#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibStore/StoreItem.h>

#include <string>

namespace verbenachute {

/// An operator's order to move the traffic of a service to another software
/// version.
struct RolloutOrder
{
  ServiceName mService;
  std::string mTargetVersion;
  /// Time from the order to its deadline.
  Duration mDuration{ 0 };
  /// Revision of the operator's write. An order with another revision is
  /// another order.
  StoreRevision mRevision;

  friend bool operator==(const RolloutOrder&, const RolloutOrder&) = default;
};

} // namespace verbenachute
