#include <LibForward/ExtraBudget.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Nodes count requests when they read them and targets when they arrive, and
// a node that restarts forgets what it spent: part of the limit stays unused.
constexpr double kRatioUsed = 0.9;
constexpr double kSlackUsed = 0.6;
// Part of the slack that hedges leave to retries.
constexpr double kRetryReserve = 0.4;

} // namespace

ExtraBudget::ExtraBudget(const ExtraLimits& aLimits)
  : mLimits(aLimits)
{
}

void
ExtraBudget::SetLimits(double aRatio, double aSlack)
{
  mLimits.mRatio = aRatio;
  mLimits.mSlack = aSlack;
}

std::int64_t
ExtraBudget::NumberOf(Instant aNow) const
{
  const Duration width = mLimits.mWindow / (kBuckets - 1);
  return aNow.time_since_epoch() / width;
}

ExtraBudget::Bucket&
ExtraBudget::Current(Instant aNow)
{
  const std::int64_t number = NumberOf(aNow);
  Bucket& bucket = mBuckets[static_cast<std::size_t>(number) % kBuckets];
  if (bucket.mNumber != number) {
    bucket = Bucket{ number, 0, 0 };
  }
  return bucket;
}

void
ExtraBudget::OnRequest(Instant aNow)
{
  ++Current(aNow).mRequests;
}

bool
ExtraBudget::Take(ExtraUse aUse, std::size_t aNodes, Instant aNow)
{
  Bucket& current = Current(aNow);
  const std::int64_t oldest = current.mNumber - std::int64_t{ kBuckets - 1 };
  double requests = 0;
  double extras = 0;
  for (const Bucket& bucket : mBuckets) {
    if (bucket.mNumber >= oldest) {
      requests += bucket.mRequests;
      extras += bucket.mExtras;
    }
  }
  const double slack = mLimits.mSlack * kSlackUsed /
                       static_cast<double>(std::max<std::size_t>(aNodes, 1));
  const double reserve = aUse == ExtraUse::Hedge ? slack * kRetryReserve : 0;
  const double allowed =
    mLimits.mRatio * kRatioUsed * requests + slack - reserve;
  if (extras + 1 > allowed) {
    return false;
  }
  ++current.mExtras;
  return true;
}

} // namespace verbenachute
