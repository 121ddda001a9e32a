#include <LibRollout/LatencyHistogram.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Upper bound of the first bucket; with half octaves the last one begins at
// 11.9 s.
constexpr double kFirstBucketMicroseconds = 362;

std::size_t
BucketOf(Duration aLatency)
{
  const double ratio =
    static_cast<double>(aLatency.count()) / kFirstBucketMicroseconds;
  if (ratio < 1) {
    return 0;
  }
  return std::min(LatencyHistogram::kBuckets - 1,
                  1 + static_cast<std::size_t>(2 * std::log2(ratio)));
}

} // namespace

void
LatencyHistogram::Add(Duration aLatency)
{
  ++mCounts[BucketOf(aLatency)];
}

void
LatencyHistogram::Add(const LatencyHistogram& aOther)
{
  for (std::size_t i = 0; i < kBuckets; ++i) {
    mCounts[i] += aOther.mCounts[i];
  }
}

void
LatencyHistogram::Set(std::size_t aBucket, std::uint64_t aCount)
{
  VERIFY(aBucket < kBuckets);
  mCounts[aBucket] = aCount;
}

std::uint64_t
LatencyHistogram::Total() const
{
  return From(0);
}

std::size_t
LatencyHistogram::MedianBucket() const
{
  const std::uint64_t half = (Total() + 1) / 2;
  std::uint64_t seen = 0;
  for (std::size_t i = 0; i < kBuckets; ++i) {
    seen += mCounts[i];
    if (seen >= half) {
      return i;
    }
  }
  return 0;
}

std::uint64_t
LatencyHistogram::From(std::size_t aBucket) const
{
  std::uint64_t count = 0;
  for (std::size_t i = aBucket; i < kBuckets; ++i) {
    count += mCounts[i];
  }
  return count;
}

} // namespace verbenachute
