#include "EntrySteering.h"

namespace verbenachute {

EntrySteering::EntrySteering(const NodeIdentity& aSelf,
                             Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(aDependencies)
{
}

std::shared_ptr<const Configuration>
EntrySteering::InForce()
{
  // Until the first copy of the store it is unknown what is in force.
  return mDependencies.mFollower.HasCopy()
           ? mDependencies.mKnowledge.Configured()
           : nullptr;
}

Revision
EntrySteering::Known() const
{
  return mDependencies.mKnowledge.Intent().Known();
}

std::optional<Instant>
EntrySteering::Confirmed() const
{
  return mDependencies.mFollower.LastAnswer();
}

std::set<FailureDomain>
EntrySteering::DomainsOut() const
{
  return mDependencies.mKnowledge.DomainsOut();
}

WriterBase
EntrySteering::Base() const
{
  return mDependencies.mKnowledge.Intent().Base();
}

WriteTask
EntrySteering::TaskOf(const ChangeRequest& aRequest) const
{
  return ListedChange{ aRequest,
                       std::make_shared<const TargetListing>(
                         mDependencies.mKnowledge.Listing()) };
}

void
EntrySteering::UpdateNodes(InForceTracker* aTracker, Instant aNow)
{
  const GossipTable& gossip = mDependencies.mGossip;
  aTracker->OnConfirmed(mSelf,
                        mDependencies.mKnowledge.Intent().RevisionInForce());
  mSeen.OnSeen(mSelf, aNow);
  for (const NodeNews& peer : gossip.Peers()) {
    if (gossip.IsLiving(peer.mIdentity.mName, aNow)) {
      aTracker->OnConfirmed(peer.mIdentity, peer.mIntent);
      mSeen.OnSeen(peer.mIdentity, aNow);
    } else if (peer.mService == NodeService::Leaving) {
      aTracker->OnGone(peer.mIdentity);
    } else {
      aTracker->OnNode(peer.mIdentity);
    }
  }
  mSeen.ForgetGone(aTracker, aNow);
}

} // namespace verbenachute
