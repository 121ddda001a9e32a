#pragma once

#include <LibCore/Time.h>
#include <LibLease/LeaseRelease.h>
#include <LibLease/LeaseRequest.h>

#include <variant>
#include <vector>

namespace verbenachute {

/// To be sent to a voter, which may be this node itself.
struct SendLeaseRequest
{
  NodeName mVoter;
  LeaseRequest mRequest;
};

struct SendLeaseRelease
{
  NodeName mVoter;
  LeaseRelease mRelease;
};

/// This node may dispatch to the targets of the bucket from now on.
struct BucketGained
{
  Bucket mBucket;
};

/// A hand-over begins: nothing more may be dispatched. LeaseHolder::OnDrained
/// is to be called when no work is left at the targets of the bucket.
struct BucketStopping
{
  Bucket mBucket;
};

/// The lease has lapsed or was released.
struct BucketLost
{
  Bucket mBucket;
};

/// LeaseHolder::OnTimer is to be called at this time.
struct WakeHolderAt
{
  Instant mAt;
};

using LeaseAction = std::variant<SendLeaseRequest,
                                 SendLeaseRelease,
                                 BucketGained,
                                 BucketStopping,
                                 BucketLost,
                                 WakeHolderAt>;
using LeaseActions = std::vector<LeaseAction>;

} // namespace verbenachute
