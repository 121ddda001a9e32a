#include "EntryNodeParts.h"

#include <utility>

// Gathers shards for peers, and delegates gathering to them.

namespace verbenachute {

GatherPort::Hooks
EntryNode::Parts::GatherHooks()
{
  GatherPort::Hooks hooks;
  hooks.mOnResponse = [this](DelegationNumber aDelegation,
                             const DelegationAnswer& aAnswer) {
    Perform(mEngine.OnDelegationAnswer(aDelegation, aAnswer, mLoop->Now()));
  };
  hooks.mOnFailure = [this](DelegationNumber aDelegation,
                            AttemptFailure aFailure) {
    Perform(mEngine.OnDelegationFailure(aDelegation, aFailure, mLoop->Now()));
  };
  hooks.mOnRequest = [this](RequestNumber aNumber,
                            const DelegatedOrder& aRequest) {
    OnDelegationRequest(aNumber, aRequest);
  };
  hooks.mOnCancelled = [this](RequestNumber aNumber, RecallReason aReason) {
    Perform(mEngine.OnRecalled(aNumber, aReason, mLoop->Now()));
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
                                      const DelegatedOrder& aRequest)
{
  const DeparturePhase phase = mShutdown.Phase();
  if (phase != DeparturePhase::Serving && phase != DeparturePhase::Announced) {
    mGatherPort->Report(ReportAction{
      aNumber, DelegationRefusal{ RefusalReason::Overloaded }, true });
    return;
  }
  mMetrics.Add(Counter::DelegationsTaken);
  Perform(mEngine.SubmitDelegated(aNumber, aRequest, mLoop->Now()));
}

} // namespace verbenachute
