#include <LibQuota/QuotaLedger.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Parts of the tolerated excess. Together with two changes of the owner and two
// deputies in one window, they stay within it.
// By this the bucket of an owner is deeper than the burst, so that requests
// that were delayed on their way are not denied.
constexpr double kOwnerPart = 0.125;
// With this a new owner starts.
constexpr double kNewOwnerPart = 0.125;
// This a deputy grants in a window.
constexpr double kDeputyPart = 0.25;
// A node that sees fewer of the others may be one of more than two parts.
constexpr double kHalfFraction = 0.4;
// Below this fraction a denial may be due to the nodes that are not seen.
constexpr double kNearlyAllFraction = 0.95;
// Longer than a node repeats a request.
constexpr Duration kReplyLifetime = seconds(1);
// Memory of a tenant is freed this long after its last request.
constexpr Duration kIdleTime = seconds(30);

} // namespace

QuotaReply
QuotaLedger::Answer(const SocketAddress& aNode,
                    const QuotaRequest& aRequest,
                    const Quota& aQuota,
                    const QuotaView& aView,
                    Instant aNow)
{
  while (!mReplyTimes.empty() &&
         aNow - mReplyTimes.front().first > kReplyLifetime) {
    mReplies.erase(mReplyTimes.front().second);
    mReplyTimes.pop_front();
  }
  const RequestKey key(aNode, aRequest.mNumber);
  const auto known = mReplies.find(key);
  if (known != mReplies.end()) {
    return known->second;
  }
  const QuotaReply reply = Decide(aRequest, aQuota, aView, aNow);
  mReplies.emplace(key, reply);
  mReplyTimes.emplace_back(aNow, key);
  return reply;
}

QuotaReply
QuotaLedger::Decide(const QuotaRequest& aRequest,
                    const Quota& aQuota,
                    const QuotaView& aView,
                    Instant aNow)
{
  QuotaReply reply;
  reply.mNumber = aRequest.mNumber;
  TenantState& state = mTenants[aRequest.mTenant];
  state.mLastRequest = aNow;
  const bool isOwner = aRequest.mSource == QuotaSource::Owner;
  TokenBucket& bucket = isOwner ? OwnedBucket(&state, aQuota, aView, aNow)
                                : ReserveBucket(&state, aQuota, aView, aNow);
  if (bucket.TryTake(aNow)) {
    reply.mDecision = QuotaDecision::Granted;
    return reply;
  }
  reply.mDecision = isOwner && aView.mVisibleFraction >= kNearlyAllFraction
                      ? QuotaDecision::Denied
                      : QuotaDecision::Unknown;
  reply.mRetryAfter = bucket.ReserveWait(aNow);
  return reply;
}

TokenBucket&
QuotaLedger::OwnedBucket(TenantState* aState,
                         const Quota& aQuota,
                         const QuotaView& aView,
                         Instant aNow) const
{
  const double excess = mRule.Excess(aQuota);
  // Two nodes that grant the whole quota each would still be within the rule.
  const bool fitsTwice = mRule.WithinQuota(aQuota) <= excess &&
                         aView.mVisibleFraction >= kHalfFraction;
  const double scale = fitsTwice ? 1 : aView.mVisibleFraction;
  const double depth = aQuota.mBurst + kOwnerPart * excess;
  const BucketLimits limits{ aQuota.mRate * scale,
                             std::max(depth * scale, 1.0) };
  if (aState->mOwned.has_value()) {
    aState->mOwned->SetLimits(limits, aNow);
  } else {
    const double level = aView.mIsStable
                           ? limits.mDepth
                           : kNewOwnerPart * excess * aView.mVisibleFraction;
    aState->mOwned.emplace(limits, level, aNow);
  }
  return *aState->mOwned;
}

TokenBucket&
QuotaLedger::ReserveBucket(TenantState* aState,
                           const Quota& aQuota,
                           const QuotaView& aView,
                           Instant aNow) const
{
  // Half of it as depth, and half of it flows in during a window.
  const double part =
    kDeputyPart * mRule.Excess(aQuota) * aView.mVisibleFraction / 2;
  const std::chrono::duration<double> window = mRule.mWindow;
  const BucketLimits limits{ part / window.count(), part };
  if (aState->mReserve.has_value()) {
    aState->mReserve->SetLimits(limits, aNow);
  } else {
    aState->mReserve.emplace(limits, limits.mDepth, aNow);
  }
  return *aState->mReserve;
}

void
QuotaLedger::OnTime(Instant aNow)
{
  std::erase_if(mTenants, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastRequest > kIdleTime;
  });
}

} // namespace verbenachute
