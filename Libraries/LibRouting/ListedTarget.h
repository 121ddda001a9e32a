#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace verbenachute {

enum class TargetAvailability
{
  Ready,
  /// The target finishes its running requests and takes no new ones.
  Draining,
};

/// A target's entry in the platform's list, as the target wrote it.
struct ListedTarget
{
  TargetName mName;
  ServiceName mService;
  SocketAddress mAddress;
  FailureDomain mDomain;
  std::string mSoftwareVersion;
  /// Requests that it runs concurrently.
  std::uint32_t mSlots = 1;
  TargetAvailability mAvailability = TargetAvailability::Ready;
  /// How much longer it stays cold, counted from when it wrote this.
  Duration mColdTimeLeft{ 0 };
  /// Time at which its process started; after a restart under the same name it
  /// is later.
  UnixMilliseconds mStartTime{ 0 };

  friend bool operator==(const ListedTarget&, const ListedTarget&) = default;
};

} // namespace verbenachute
