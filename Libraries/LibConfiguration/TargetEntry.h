#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>

namespace verbenachute {

/// A target as the operators registered it.
struct TargetEntry
{
  TargetName mName;
  ServiceName mService;
  SocketAddress mAddress;
  FailureDomain mDomain;
  /// Sub-queries that the target runs at one time.
  std::uint32_t mSlots = 0;
  /// Connections that the target accepts in all.
  std::uint32_t mConnections = 0;

  friend bool operator==(const TargetEntry&, const TargetEntry&) = default;
};

} // namespace verbenachute
