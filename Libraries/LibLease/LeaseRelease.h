#pragma once

#include <LibLease/Bucket.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// Gives buckets back: the holder has no work in hand at their targets.
struct LeaseRelease
{
  NodeIdentity mHolder;
  /// Last round of the holder; grants of later rounds are not released.
  std::uint64_t mRound = 0;
  std::vector<Bucket> mBuckets;

  friend bool operator==(const LeaseRelease&, const LeaseRelease&) = default;
};

} // namespace verbenachute
