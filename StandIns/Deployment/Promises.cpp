#include "Promises.h"

#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <string_view>

namespace verbenachute::standins {

namespace {

constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

/// Statuses that promise that the request has not run and never will.
bool
PromisesNotRun(int aStatus)
{
  return aStatus == 503 || aStatus == 429 || aStatus == 408 || aStatus == 421;
}

} // namespace

Promises::Promises(const Bounds& aBounds)
  : mBounds(aBounds)
{
}

void
Promises::Violated(const std::string& aWhat, const RequestId& aRequest)
{
  mViolations.push_back(aWhat + ": request " + aRequest.value());
}

void
Promises::OnPlan(const std::set<ServiceName>& aShards, Instant aNow)
{
  mPlans.push_back(Plan{ aShards, aNow });
}

void
Promises::OnDomainOut(const FailureDomain& aDomain, Instant aNow)
{
  mDomainsOut.try_emplace(aDomain, aNow);
}

void
Promises::OnDomainIn(const FailureDomain& aDomain)
{
  mDomainsOut.erase(aDomain);
}

void
Promises::OnDraining(const TargetName& aTarget, Instant aNow)
{
  mDraining[aTarget] = aNow;
}

void
Promises::OnTargetGone(const TargetName& aTarget)
{
  mDraining.erase(aTarget);
}

void
Promises::OnDisruption(const NodeName& aNode)
{
  ++mDisrupted[aNode];
}

void
Promises::OnRelief(const NodeName& aNode, Instant aNow)
{
  --mDisrupted[aNode];
  mRelieved[aNode] = aNow;
}

std::optional<Instant>
Promises::BoundFor(const Request& aRequest,
                   Instant aChanged,
                   Duration aBound) const
{
  Instant from = aChanged;
  for (const NodeName& name : { NodeName(), aRequest.mNode }) {
    const auto disrupted = mDisrupted.find(name);
    if (disrupted != mDisrupted.end() && disrupted->second > 0) {
      return std::nullopt;
    }
    const auto relieved = mRelieved.find(name);
    if (relieved != mRelieved.end()) {
      from = std::max(from, relieved->second + mBounds.mSettling);
    }
  }
  return from + aBound;
}

void
Promises::OnSent(const RequestId& aRequest,
                 RequestKind aKind,
                 const NodeName& aNode,
                 Instant aNow)
{
  ++mSent;
  Request& request = mRequests[aRequest];
  request.mKind = aKind;
  request.mNode = aNode;
  request.mSent = aNow;
}

void
Promises::OnArrived(const RequestId& aRequest,
                    const TargetFacts& aTarget,
                    Instant aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    Violated("a target got a request that no caller sent", aRequest);
    return;
  }
  const auto out = mDomainsOut.find(aTarget.mDomain);
  if (out != mDomainsOut.end()) {
    const std::optional<Instant> bound =
      BoundFor(found->second, out->second, mBounds.mDomainOut);
    if (bound && aNow > *bound) {
      Violated("work for domain " + aTarget.mDomain.value() +
                 " that was taken out, at " + aTarget.mName.value(),
               aRequest);
    }
  }
  const auto draining = mDraining.find(aTarget.mName);
  if (draining != mDraining.end()) {
    const std::optional<Instant> bound =
      BoundFor(found->second, draining->second, mBounds.mDraining);
    if (bound && aNow > *bound) {
      Violated("work for draining target " + aTarget.mName.value(), aRequest);
    }
  }
}

void
Promises::OnArrivedCold(const RequestId& aRequest,
                        const TargetFacts& aTarget,
                        Instant aNow)
{
  const auto found = mRequests.find(aRequest);
  if (found == mRequests.end()) {
    return;
  }
  std::deque<Instant>& sent = mSentToCold[aTarget.mName];
  sent.push_back(found->second.mSent);
  std::erase_if(sent, [&](Instant aSent) { return aNow - aSent > seconds(1); });
  if (sent.size() > mBounds.mColdInSecond) {
    Violated("too many requests in a second for the cold target " +
               aTarget.mName.value(),
             aRequest);
  }
}

void
Promises::OnRan(const RequestId& aRequest, const TargetFacts& aTarget)
{
  Request& request = mRequests[aRequest];
  ++request.mRuns;
  if (request.mKind == RequestKind::Once && request.mRuns > 1) {
    Violated("a request that may run once ran again at " +
               aTarget.mName.value(),
             aRequest);
  }
  if (request.mKind == RequestKind::Once && request.mPromisedNotRun) {
    Violated("a request ran that was told not to have run", aRequest);
  }
}

void
Promises::OnSigned(const RequestId& aRequest,
                   const TargetFacts& aTarget,
                   const std::string& aSignature,
                   const std::string& aBody)
{
  mRequests[aRequest].mAnswers[aSignature] = Answer{ aTarget.mService, aBody };
}

void
Promises::OnOutcome(const RequestId& aRequest,
                    const CallerOutcome& aOutcome,
                    Instant)
{
  Request& request = mRequests[aRequest];
  if (PromisesNotRun(aOutcome.mStatus)) {
    ++mRefused;
    request.mPromisedNotRun = true;
    if (request.mKind == RequestKind::Once && request.mRuns > 0) {
      Violated("a request was told not to have run, but had", aRequest);
    }
  }
  const bool success =
    aOutcome.mStatus >= kFirstSuccess && aOutcome.mStatus < kFirstRedirect;
  if (!success) {
    return;
  }
  ++mServed;
  if (request.mKind == RequestKind::Gathered) {
    CheckGathered(aRequest, request, aOutcome);
    return;
  }
  const auto answer = request.mAnswers.find(aOutcome.mSignature);
  if (answer == request.mAnswers.end()) {
    Violated("a success without a target's signature for it", aRequest);
  } else if (answer->second.mBody != aOutcome.mBody) {
    Violated("a body that is not the target's", aRequest);
  }
}

void
Promises::CheckGathered(const RequestId& aId,
                        const Request& aRequest,
                        const CallerOutcome& aOutcome)
{
  std::set<ServiceName> services;
  std::vector<std::string_view> bodies;
  for (const std::string& signature : aOutcome.mPartSignatures) {
    const auto answer = aRequest.mAnswers.find(signature);
    if (answer == aRequest.mAnswers.end()) {
      Violated("a part without a target's signature for it", aId);
      return;
    }
    if (!services.insert(answer->second.mService).second) {
      Violated("two parts of one shard", aId);
      return;
    }
    bodies.push_back(answer->second.mBody);
  }
  if (services.empty()) {
    Violated("a success without parts", aId);
    return;
  }
  mPartial += aOutcome.mMissing > 0 ? 1 : 0;
  if (MergeTopRecords(bodies, mBounds.mMaximumRecords) != aOutcome.mBody) {
    Violated("records that are not the greatest of the parts", aId);
  }
  CheckPlan(aId, aRequest, services, aOutcome.mMissing);
}

void
Promises::CheckPlan(const RequestId& aId,
                    const Request& aRequest,
                    const std::set<ServiceName>& aParts,
                    std::size_t aMissing)
{
  // The oldest plan that may still be in force for this request.
  std::size_t oldest = 0;
  for (std::size_t i = 0; i < mPlans.size(); ++i) {
    const std::optional<Instant> bound =
      BoundFor(aRequest, mPlans[i].mAccepted, mBounds.mInForce);
    if (bound && aRequest.mSent > *bound) {
      oldest = i;
    }
  }
  bool any = false;
  for (std::size_t i = 0; i < mPlans.size(); ++i) {
    const std::set<ServiceName>& shards = mPlans[i].mShards;
    const bool fits =
      shards.size() == aParts.size() + aMissing &&
      std::includes(shards.begin(), shards.end(), aParts.begin(), aParts.end());
    any = any || fits;
    if (fits && i >= oldest) {
      return;
    }
  }
  Violated(any ? "an answer by a plan that was replaced"
               : "parts and missing parts that make up no plan",
           aId);
}

void
Promises::OnConnections(const TargetFacts& aTarget,
                        std::size_t aOpen,
                        std::size_t aAllowed)
{
  if (aOpen > aAllowed) {
    mViolations.push_back("target " + aTarget.mName.value() + " has " +
                          std::to_string(aOpen) + " connections of " +
                          std::to_string(aAllowed));
  }
}

} // namespace verbenachute::standins
