#include <LibLease/Bucket.h>

#include <LibCore/RendezvousHash.h>

namespace verbenachute {

Bucket
BucketOf(const FailureDomain& aDomain, const TargetName& aTarget)
{
  const std::uint64_t hash = StableHash(aTarget.value());
  return Bucket{ aDomain,
                 static_cast<std::uint16_t>(hash % kBucketsPerDomain) };
}

std::vector<Bucket>
BucketsOf(const FailureDomain& aDomain)
{
  std::vector<Bucket> buckets;
  buckets.reserve(kBucketsPerDomain);
  for (std::uint16_t index = 0; index < kBucketsPerDomain; ++index) {
    buckets.push_back(Bucket{ aDomain, index });
  }
  return buckets;
}

std::string
BucketText(const Bucket& aBucket)
{
  return aBucket.mDomain.value() + "/" + std::to_string(aBucket.mIndex);
}

} // namespace verbenachute
