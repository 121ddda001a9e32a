#pragma once

#include <LibCore/Time.h>

#include <cstddef>

namespace verbenachute {

/// Times and bounds of membership; the same on every node.
struct MemberSettings
{
  Duration mHeartbeatPeriod = milliseconds(500);
  /// A node is offered to callers while its newest proof of life is younger.
  Duration mSuspectAfter = milliseconds(2500);
  Duration mDeadAfter = seconds(10);
  /// A dead node that is not listed is forgotten after this time, and after
  /// its last message could still arrive.
  Duration mForgetAfter = seconds(600);
  /// Nodes that heartbeat each other all the time.
  std::size_t mCellSize = 16;
  /// Nodes outside the cell that get a heartbeat in each period.
  std::size_t mFarProbes = 2;
  std::size_t mMaxRumours = 2;
  /// Times that each rumour is passed on.
  std::size_t mRumourRepeats = 40;
  /// Bound of members known; further unlisted ones are ignored.
  std::size_t mMaxMembers = 16'384;
};

} // namespace verbenachute
