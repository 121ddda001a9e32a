#include "EntryOperatorState.h"

namespace verbenachute {

EntryOperatorState::EntryOperatorState(const NodeIdentity& aSelf,
                                       Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(aDependencies)
{
}

std::shared_ptr<const Configuration>
EntryOperatorState::InForce()
{
  // Until the first copy of the store it is unknown what is in force.
  return mDependencies.mFollower.HasCopy()
           ? mDependencies.mEntryState.Configured()
           : nullptr;
}

Revision
EntryOperatorState::Known() const
{
  return mDependencies.mEntryState.Intent().Known();
}

std::optional<Instant>
EntryOperatorState::Confirmed() const
{
  return mDependencies.mFollower.LastResponse();
}

std::set<FailureDomain>
EntryOperatorState::DomainsOut() const
{
  return mDependencies.mEntryState.DomainsOut();
}

WriterBase
EntryOperatorState::Base() const
{
  return mDependencies.mEntryState.Intent().Base();
}

WriteTask
EntryOperatorState::TaskOf(const ChangeRequest& aRequest) const
{
  return ListedChange{ aRequest,
                       std::make_shared<const TargetListing>(
                         mDependencies.mEntryState.Listing()) };
}

void
EntryOperatorState::UpdateNodes(InForceTracker* aTracker, Instant aNow)
{
  const GossipTable& gossip = mDependencies.mGossip;
  aTracker->OnConfirmed(mSelf,
                        mDependencies.mEntryState.Intent().RevisionInForce());
  mSeen.OnSeen(mSelf, aNow);
  for (const NodeStatus& peer : gossip.Peers()) {
    if (gossip.IsAlive(peer.mIdentity.mName, aNow)) {
      aTracker->OnConfirmed(peer.mIdentity, peer.mConfigurationRevision);
      mSeen.OnSeen(peer.mIdentity, aNow);
    } else if (peer.mServingState == ServingState::Leaving) {
      aTracker->OnGone(peer.mIdentity);
    } else {
      aTracker->OnNode(peer.mIdentity);
    }
  }
  mSeen.ForgetGone(aTracker, aNow);
}

} // namespace verbenachute
