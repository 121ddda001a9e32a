#pragma once

#include <LibLease/BucketHolder.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// What a voter says to one LeaseRequest.
struct LeaseReply
{
  NodeIdentity mVoter;
  /// The life of a node that asked.
  NodeIdentity mHolder;
  /// Epoch of the roster that the voter knows, which may be another one.
  RosterEpoch mEpoch;
  std::uint64_t mRound = 0;
  std::vector<Bucket> mGranted;
  /// Buckets that were asked for and are held by others.
  std::vector<BucketHolder> mRefused;
  /// Others that asked lately for buckets granted in this reply.
  std::vector<BucketHolder> mContenders;
  /// Highest revision of configuration that the voter knows.
  Revision mRevision;

  friend bool operator==(const LeaseReply&, const LeaseReply&) = default;
};

} // namespace verbenachute
