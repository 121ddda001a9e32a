#include <LibForward/AttemptBudget.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Part of each limit stays unused, because nodes count requests when they read
// them and targets count them on arrival, and because a node that restarts
// loses its count.
constexpr double kUsableRatioShare = 0.9;
constexpr double kUsableSlackShare = 0.6;
// Share of the slack that hedges leave to retries.
constexpr double kRetryReserveShare = 0.4;

} // namespace

AttemptBudget::AttemptBudget(const AttemptBudgetLimits& aLimits)
  : mLimits(aLimits)
{
}

void
AttemptBudget::SetLimits(double aRatio, double aSlack)
{
  mLimits.mRatio = aRatio;
  mLimits.mSlack = aSlack;
}

std::int64_t
AttemptBudget::BucketNumberAt(Instant aNow) const
{
  const Duration width = mLimits.mWindow / (kBuckets - 1);
  return aNow.time_since_epoch() / width;
}

AttemptBudget::Bucket&
AttemptBudget::BucketAt(Instant aNow)
{
  const std::int64_t number = BucketNumberAt(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.mBucketNumber != number) {
    bucket = Bucket{ number, 0, 0 };
  }
  return bucket;
}

void
AttemptBudget::OnRequest(Instant aNow)
{
  ++BucketAt(aNow).mRequestCount;
}

bool
AttemptBudget::TryAcquire(AttemptPurpose aPurpose,
                          std::size_t aNodes,
                          Instant aNow)
{
  Bucket& current = BucketAt(aNow);
  const std::int64_t oldest =
    current.mBucketNumber - std::int64_t{ kBuckets - 1 };
  double requests = 0;
  double extraAttempts = 0;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mBucketNumber >= oldest) {
      requests += bucket.mRequestCount;
      extraAttempts += bucket.mExtraAttempts;
    }
  }
  const double slack = mLimits.mSlack * kUsableSlackShare /
                       static_cast<double>(std::max<std::size_t>(aNodes, 1));
  const double reserve =
    aPurpose == AttemptPurpose::Hedge ? slack * kRetryReserveShare : 0;
  const double allowed =
    mLimits.mRatio * kUsableRatioShare * requests + slack - reserve;
  if (extraAttempts + 1 > allowed) {
    return false;
  }
  ++current.mExtraAttempts;
  return true;
}

} // namespace verbenachute
