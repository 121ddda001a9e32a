#include "EntryNodeParts.h"

#include <utility>

// Gathers shards for peers, and delegates gathering to them.

namespace verbenachute {

GatherPort::Hooks
EntryNode::Parts::GatherHooks()
{
  GatherPort::Hooks hooks;
  hooks.mOnResponse = [this](DelegationNumber aDelegation,
                             const DelegationResponse& aResponse) {
    Perform(mEngine.OnDelegationResponse(aDelegation, aResponse, mLoop->Now()));
  };
  hooks.mOnFailure = [this](DelegationNumber aDelegation,
                            AttemptFailure aFailure) {
    Perform(mEngine.OnDelegationFailure(aDelegation, aFailure, mLoop->Now()));
  };
  hooks.mOnRequest = [this](RequestNumber aNumber,
                            const DelegationRequest& aRequest) {
    OnDelegationRequest(aNumber, aRequest);
  };
  hooks.mOnCancelled = [this](RequestNumber aNumber, CancelReason aReason) {
    Perform(mEngine.OnDelegationCancelled(aNumber, aReason, mLoop->Now()));
  };
  hooks.mNextRequestNumber = [this]() {
    return RequestNumber(mNextRequestNumber++);
  };
  return hooks;
}

void
EntryNode::Parts::Delegate(const DelegateAction& aAction)
{
  mMetrics.Add(Counter::DelegationsSent);
  const auto address = mGatherAddresses.find(aAction.mPeer);
  if (address != mGatherAddresses.end()) {
    mGatherPort->Delegate(aAction, address->second);
    return;
  }
  // The peer is no longer advertised since the engine chose it.
  mLoop->Defer([this, delegation = aAction.mDelegation]() {
    Perform(mEngine.OnDelegationFailure(
      delegation, AttemptFailure::NotSent, mLoop->Now()));
  });
}

void
EntryNode::Parts::OnDelegationRequest(RequestNumber aNumber,
                                      const DelegationRequest& aRequest)
{
  const GracefulShutdownPhase phase = mShutdown.Phase();
  if (phase != GracefulShutdownPhase::Serving &&
      phase != GracefulShutdownPhase::Unadvertised) {
    mGatherPort->Report(ReportAction{
      aNumber, DelegationRefusal{ RefusalReason::Overloaded }, true });
    return;
  }
  mMetrics.Add(Counter::DelegationsTaken);
  Perform(mEngine.SubmitDelegation(aNumber, aRequest, mLoop->Now()));
}

} // namespace verbenachute
