#include "EntryNodeParts.h"

#include <utility>

// What nodes gather for each other.

namespace verbenachute {

GatherPort::Hooks
EntryNode::Parts::GatherHooks()
{
  GatherPort::Hooks hooks;
  hooks.mAnswered = [this](DelegationNumber aDelegation,
                           const DelegationAnswer& aAnswer) {
    Perform(mEngine.OnDelegationAnswer(aDelegation, aAnswer, mLoop->Now()));
  };
  hooks.mFailed = [this](DelegationNumber aDelegation,
                         AttemptFailure aFailure) {
    Perform(mEngine.OnDelegationFailure(aDelegation, aFailure, mLoop->Now()));
  };
  hooks.mOrdered = [this](RequestNumber aNumber, const DelegatedOrder& aOrder) {
    OnOrder(aNumber, aOrder);
  };
  hooks.mRecalled = [this](RequestNumber aNumber, RecallReason aReason) {
    Perform(mEngine.OnRecalled(aNumber, aReason, mLoop->Now()));
  };
  hooks.mNextNumber = [this]() { return RequestNumber(mNextNumber++); };
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
  // The peer has gone since the engine chose it.
  mLoop->Defer([this, delegation = aAction.mDelegation]() {
    Perform(mEngine.OnDelegationFailure(
      delegation, AttemptFailure::NotSent, mLoop->Now()));
  });
}

void
EntryNode::Parts::OnOrder(RequestNumber aNumber, const DelegatedOrder& aOrder)
{
  const DeparturePhase phase = mDeparture.Phase();
  if (phase != DeparturePhase::Serving && phase != DeparturePhase::Announced) {
    mGatherPort->Report(ReportAction{
      aNumber, DelegationRefusal{ RefusalReason::Overloaded }, true });
    return;
  }
  mMetrics.Add(Counter::DelegationsTaken);
  Perform(mEngine.SubmitDelegated(aNumber, aOrder, mLoop->Now()));
}

} // namespace verbenachute
