#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// What a node says of itself: whether it takes new callers.
enum class MemberPhase
{
  /// Not ready to serve yet, such as before it has a configuration.
  Starting,
  Live,
  /// In graceful shutdown. It still answers what reaches it.
  Leaving,
};

/// Buckets of targets of one failure domain; bit i stands for bucket i.
struct MemberBuckets
{
  FailureDomain mDomain;
  std::uint16_t mMask = 0;

  friend bool operator==(const MemberBuckets&, const MemberBuckets&) = default;
};

/// One life of a node as it describes itself in its heartbeats.
struct MemberDescription
{
  NodeIdentity mIdentity;
  SocketAddress mCallerAddress;
  SocketAddress mPeerAddress;
  SocketAddress mOperatorAddress;
  FailureDomain mDomain;
  Region mRegion;
  MemberPhase mPhase = MemberPhase::Live;
  /// Number of the ticket that the node issues now; see TicketIssuer.
  Incarnation mTicket;
  /// Revision of the configuration in force on the node.
  Revision mRevision;
  /// Buckets whose lease the node holds.
  std::vector<MemberBuckets> mBuckets;
  /// Digest of the target states that the node reports.
  std::uint64_t mDigest = 0;

  friend bool operator==(const MemberDescription&,
                         const MemberDescription&) = default;
};

} // namespace verbenachute
