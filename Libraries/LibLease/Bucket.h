#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <vector>

namespace verbenachute {

/// Number of buckets into which the targets of a failure domain are grouped.
inline constexpr std::uint16_t kBucketsPerDomain = 16;

/// A group of targets of one failure domain that share one holder.
struct Bucket
{
  FailureDomain mDomain;
  /// From 0 to kBucketsPerDomain - 1.
  std::uint16_t mIndex = 0;

  friend bool operator==(const Bucket&, const Bucket&) = default;
  // NOLINTNEXTLINE(modernize-use-nullptr): the rewritten 0 is no pointer.
  friend auto operator<=>(const Bucket&, const Bucket&) = default;
};

/// The bucket of a target, the same in every process.
[[nodiscard]] Bucket
BucketOf(const FailureDomain& aDomain, const TargetName& aTarget);

/// All buckets of a failure domain, in ascending order.
[[nodiscard]] std::vector<Bucket>
BucketsOf(const FailureDomain& aDomain);

/// "caxias-a/7": the key by which holders are ranked, and the name in logs.
[[nodiscard]] std::string
BucketText(const Bucket& aBucket);

} // namespace verbenachute
