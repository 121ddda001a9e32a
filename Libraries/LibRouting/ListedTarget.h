#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <string>

namespace verbenachute {

enum class TargetStanding
{
  Ready,
  /// It finishes what it has and takes nothing new.
  Draining,
};

/// What a target says of itself in the platform's list.
struct ListedTarget
{
  TargetName mName;
  ServiceName mService;
  SocketAddress mAddress;
  FailureDomain mDomain;
  std::string mSoftwareVersion;
  /// Requests that it runs at one time.
  std::uint32_t mSlots = 1;
  TargetStanding mStanding = TargetStanding::Ready;
  /// How much longer it stays cold, from when it said so.
  Duration mColdFor{ 0 };
  /// Start of its present life; a restart under the same name has a later one.
  UnixMilliseconds mBorn{ 0 };

  friend bool operator==(const ListedTarget&, const ListedTarget&) = default;
};

} // namespace verbenachute
