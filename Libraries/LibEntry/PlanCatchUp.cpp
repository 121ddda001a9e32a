#include <LibEntry/PlanCatchUp.h>

#include <algorithm>

namespace verbenachute {

PlanCatchUp::Decision
PlanCatchUp::OnTime(const Inputs& aInputs, Instant aNow)
{
  if (aInputs.mEra == StoreEra()) {
    return Decision::Wait;
  }
  if (!aInputs.mHeld.has_value()) {
    mHeldSince.reset();
  } else if (!mHeldSince.has_value()) {
    mHeldSince = aNow;
  }
  const PlanVersion known =
    std::max(aInputs.mInForce, aInputs.mHeld.value_or(PlanVersion()));
  if (aInputs.mNewestOfPeers > known) {
    return OnBehind(aInputs, aNow);
  }
  mBehindSince.reset();
  return mHeldSince.has_value() && aNow - *mHeldSince >= kListenTime
           ? Decision::ReleaseHeld
           : Decision::Wait;
}

PlanCatchUp::Decision
PlanCatchUp::OnBehind(const Inputs& aInputs, Instant aNow)
{
  if (mHeldSince.has_value() && aNow - *mHeldSince >= kHoldLimit) {
    return Decision::ReleaseHeld;
  }
  if (!mBehindSince.has_value()) {
    mBehindSince = aNow;
  }
  const bool hasPlan = aInputs.mInForce != PlanVersion();
  const Instant due = std::max(
    mNextFetch, *mBehindSince + (hasPlan ? kPropagationTime : Duration(0)));
  if (mFetchPending || aNow < due) {
    return Decision::Wait;
  }
  mFetchPending = true;
  return Decision::FetchFromPeer;
}

void
PlanCatchUp::OnFetchEnded(Instant aNow)
{
  mFetchPending = false;
  mNextFetch = aNow + kFetchInterval;
}

} // namespace verbenachute
