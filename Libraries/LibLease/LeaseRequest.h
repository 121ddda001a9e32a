#pragma once

#include <LibCore/Time.h>
#include <LibLease/Bucket.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// Asks a voter for leases, or for the renewal of leases, on buckets.
struct LeaseRequest
{
  NodeIdentity mHolder;
  RosterEpoch mEpoch;
  /// Grows with each round of this holder; the reply carries it back.
  std::uint64_t mRound = 0;
  std::vector<Bucket> mBuckets;
  /// How long the holder counts the lease from the moment of sending.
  Duration mDuration{ 0 };
  /// Revision of configuration that the holder has in force.
  Revision mRevision;

  friend bool operator==(const LeaseRequest&, const LeaseRequest&) = default;
};

} // namespace verbenachute
