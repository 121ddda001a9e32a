#include <LibObservation/Histogram.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

void
Histogram::Observe(Duration aLatency)
{
  const double latencySeconds = std::chrono::duration<double>(aLatency).count();
  const auto bound = std::ranges::lower_bound(kBounds, aLatency);
  mBuckets[static_cast<std::size_t>(bound - kBounds.begin())](latencySeconds);
  mSummary(latencySeconds);
}

std::uint64_t
Histogram::Count() const
{
  return boost::accumulators::count(mSummary);
}

double
Histogram::SumSeconds() const
{
  return boost::accumulators::sum(mSummary);
}

double
Histogram::MaxSeconds() const
{
  return Count() == 0 ? 0 : boost::accumulators::max(mSummary);
}

std::uint64_t
Histogram::BucketCount(std::size_t aBucket) const
{
  VERIFY(aBucket < mBuckets.size());
  return boost::accumulators::count(mBuckets[aBucket]);
}

} // namespace verbenachute
