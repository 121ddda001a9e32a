#include <LibQuota/TokenBucket.h>

#include <algorithm>

namespace verbenachute {

namespace {

Duration
TimeOf(double aTokens, double aRate)
{
  if (aRate <= 0) {
    return TokenBucket::kMaximumWait;
  }
  const std::chrono::duration<double> wait(
    std::min(std::max(aTokens, 0.0) / aRate,
             std::chrono::duration<double>(TokenBucket::kMaximumWait).count()));
  return std::chrono::duration_cast<Duration>(wait);
}

} // namespace

TokenBucket::TokenBucket(const BucketLimits& aLimits,
                         double aLevel,
                         Instant aNow)
  : mLimits(aLimits)
  , mLevel(std::min(aLevel, aLimits.mDepth))
  , mUpdated(aNow)
  , mNextReservation(aNow)
{
}

double
TokenBucket::LevelAt(Instant aNow) const
{
  const std::chrono::duration<double> elapsed = aNow - mUpdated;
  return std::min(mLimits.mDepth,
                  mLevel + mLimits.mRate * std::max(elapsed.count(), 0.0));
}

void
TokenBucket::SetLimits(const BucketLimits& aLimits, Instant aNow)
{
  mLevel = LevelAt(aNow);
  mUpdated = aNow;
  mLimits = aLimits;
  mLevel = std::min(mLevel, mLimits.mDepth);
}

bool
TokenBucket::TryTake(Instant aNow)
{
  mLevel = LevelAt(aNow);
  mUpdated = aNow;
  if (mLevel < 1) {
    return false;
  }
  mLevel -= 1;
  return true;
}

Duration
TokenBucket::ReserveWait(Instant aNow)
{
  const Instant firstToken = aNow + TimeOf(1 - LevelAt(aNow), mLimits.mRate);
  const Instant reserved = std::max(firstToken, mNextReservation);
  mNextReservation = reserved + TimeOf(1, mLimits.mRate);
  return std::min(reserved - aNow, kMaximumWait);
}

} // namespace verbenachute
