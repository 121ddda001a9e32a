#include <LibForward/TargetGate.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Requests at once, over all nodes, that a target with a named rate takes
// beyond one second's worth.
constexpr double kNamedBurst = 4;
// Share of the burst that hedges leave to first attempts.
constexpr double kHedgeReserveShare = 0.5;

} // namespace

const char*
HoldReasonName(HoldReason aReason)
{
  switch (aReason) {
    case HoldReason::None:
      return "none";
    case HoldReason::Leaving:
      return "leaving";
    case HoldReason::Paused:
      return "paused";
    case HoldReason::ColdRate:
      return "cold_rate";
    case HoldReason::NamedRate:
      return "named_rate";
  }
  VERIFY(!"unknown reason");
}

double
TargetGate::Bucket::Tokens(const RateShare& aShare, Instant aNow) const
{
  const double elapsed = std::chrono::duration<double>(aNow - mUpdated).count();
  return std::min(aShare.mBurst, mTokens + elapsed * aShare.mPerSecond);
}

void
TargetGate::Bucket::Take(const RateShare& aShare, Instant aNow)
{
  mTokens = std::max(Tokens(aShare, aNow) - 1, -aShare.mBurst);
  mUpdated = aNow;
}

std::optional<Instant>
TargetGate::Bucket::TimeOf(double aTokens,
                           const RateShare& aShare,
                           Instant aNow) const
{
  if (aShare.mPerSecond <= 0) {
    return std::nullopt;
  }
  const double missing = std::max(0.0, aTokens - Tokens(aShare, aNow));
  // A microsecond more, so that rounding does not leave a part missing.
  return aNow + Duration(1) +
         std::chrono::duration_cast<Duration>(
           std::chrono::duration<double>(missing / aShare.mPerSecond));
}

TargetGate::TargetGate(Instant aNow)
  : mPausedUntil(aNow)
  , mColdBucket(aNow)
  , mNamedBucket(aNow)
{
}

void
TargetGate::OnNamedRate(std::optional<double> aPerSecond)
{
  // The bucket stays as it is, so that a target that states its rate only now
  // and then does not get a burst each time.
  mNamedRate = aPerSecond;
}

void
TargetGate::OnPaused(Instant aUntil)
{
  mPausedUntil = std::max(mPausedUntil, aUntil);
}

void
TargetGate::OnRestarted(Instant aNow)
{
  const Bucket coldBucket = mColdBucket;
  *this = TargetGate(aNow);
  mColdBucket = coldBucket;
}

void
TargetGate::OnSent(const TargetRateShares& aShares, Instant aNow)
{
  if (aShares.mCold.has_value()) {
    mColdBucket.Take(*aShares.mCold, aNow);
  }
  if (aShares.mNamed.has_value()) {
    mNamedBucket.Take(*aShares.mNamed, aNow);
  }
}

GateDecision
TargetGate::Decide(const TargetRateShares& aShares,
                   AttemptPurpose aPurpose,
                   double aAhead,
                   Instant aNow) const
{
  GateDecision decision;
  const auto hold = [&](HoldReason aReason, std::optional<Instant> aEndsAt) {
    const bool isFirst = decision.MaySend();
    const bool isLater = decision.mEndsAt.has_value() &&
                         (!aEndsAt.has_value() || *aEndsAt > *decision.mEndsAt);
    if (isFirst || isLater) {
      decision = GateDecision{ aReason, aEndsAt };
    }
  };
  const auto checkRate = [&](HoldReason aReason,
                             const std::optional<RateShare>& aShare,
                             const Bucket& aBucket,
                             double aNeeded) {
    if (aShare.has_value() &&
        (aShare->mPerSecond <= 0 || aBucket.Tokens(*aShare, aNow) < aNeeded)) {
      hold(aReason, aBucket.TimeOf(aNeeded, *aShare, aNow));
    }
  };
  if (mIsLeaving) {
    hold(HoldReason::Leaving, std::nullopt);
  }
  if (aNow < mPausedUntil) {
    hold(HoldReason::Paused, mPausedUntil);
  }
  checkRate(HoldReason::ColdRate, aShares.mCold, mColdBucket, 1 + aAhead);
  double needed = 1 + aAhead;
  if (aPurpose == AttemptPurpose::Hedge && aShares.mNamed.has_value()) {
    needed = std::max(needed, kHedgeReserveShare * aShares.mNamed->mBurst);
  }
  checkRate(HoldReason::NamedRate, aShares.mNamed, mNamedBucket, needed);
  return decision;
}

RateShare
TargetGate::ColdShare(double aPerSecond,
                      const NodesBefore& aNodesBefore,
                      std::size_t aNodes)
{
  const double share =
    aPerSecond / static_cast<double>(std::max<std::size_t>(1, aNodes));
  if (share >= 1) {
    return RateShare{ share, 1 };
  }
  // The share of each node is less than one request per second. Only the first
  // nodes send, at up to one request per second each.
  const std::size_t senders =
    std::max<std::size_t>(1, static_cast<std::size_t>(aPerSecond));
  return RateShare{ aNodesBefore() < senders ? std::min(1.0, aPerSecond) : 0,
                    1 };
}

RateShare
TargetGate::NamedShare(double aPerSecond,
                       const NodesBefore& aNodesBefore,
                       std::size_t aNodes)
{
  const double burst = aPerSecond + kNamedBurst;
  // Each sender's burst is one request at least.
  const std::size_t senders = std::clamp<std::size_t>(
    static_cast<std::size_t>(burst), 1, std::max<std::size_t>(1, aNodes));
  if (senders < aNodes && aNodesBefore() >= senders) {
    return RateShare{ 0, 1 };
  }
  const double count = static_cast<double>(senders);
  return RateShare{ aPerSecond / count, burst / count };
}

} // namespace verbenachute
