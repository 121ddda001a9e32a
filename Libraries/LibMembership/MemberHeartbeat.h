#pragma once

#include <LibMembership/MemberDescription.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// What one node passes on about another. A newer incarnation wins, then a
/// larger counter, then Dead.
struct MemberRumour
{
  enum class Kind
  {
    Heard,
    Dead,
  };

  Kind mKind = Kind::Heard;
  MemberDescription mMember;
  /// Counter of the newest heartbeat of the member that the teller knows of.
  std::uint64_t mCounter = 0;
};

/// One message from node to node, each 500 ms to the peers of the cell.
struct MemberHeartbeat
{
  MemberDescription mSender;
  /// Grows with each heartbeat of this life of the sender.
  std::uint64_t mCounter = 0;
  /// Life of the receiver of which mEcho speaks.
  Incarnation mEchoOf;
  /// Counter of the newest heartbeat of the receiver that the sender has
  /// got; 0 for none. It proves to the receiver how old this message may be.
  std::uint64_t mEcho = 0;
  /// Leaving nodes that the sender offers to callers no more.
  std::vector<NodeIdentity> mSeenLeaving;
  /// At most MemberSettings::mMaxRumours.
  std::vector<MemberRumour> mRumours;
};

} // namespace verbenachute
