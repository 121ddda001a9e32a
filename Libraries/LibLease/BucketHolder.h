#pragma once

#include <LibLease/Bucket.h>

namespace verbenachute {

/// A bucket and a life of a node that holds it or wants it.
struct BucketHolder
{
  Bucket mBucket;
  NodeIdentity mHolder;

  friend bool operator==(const BucketHolder&, const BucketHolder&) = default;
};

} // namespace verbenachute
