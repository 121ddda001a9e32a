#include "HolderOperatorState.h"

#include <map>
#include <utility>

namespace verbenachute {

HolderOperatorState::HolderOperatorState(const NodeIdentity& aSelf,
                                         Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(std::move(aDependencies))
  , mBar(mDependencies.mLeases.Settings().VoterDuration())
{
  mDependencies.mConfiguration.Applied().connect(
    [this](const std::shared_ptr<const Configuration>&) { mApplied.emit(); });
}

std::shared_ptr<const Configuration>
HolderOperatorState::InForce()
{
  return mDependencies.mConfiguration.Follower().InForce();
}

Revision
HolderOperatorState::Known() const
{
  return mDependencies.mConfiguration.Follower().RevisionKnown();
}

std::optional<Instant>
HolderOperatorState::Confirmed() const
{
  return mDependencies.mConfiguration.Follower().Confirmed();
}

WriterBase
HolderOperatorState::Base() const
{
  const ConfigurationFollower& follower =
    mDependencies.mConfiguration.Follower();
  WriterBase base;
  if (follower.InForce()) {
    base.mConfiguration = follower.InForce();
    base.mHead = follower.Head();
    for (const PartName& part : base.mHead.mParts) {
      base.mParts[part] = follower.FindPart(part);
    }
  }
  return base;
}

WriteTask
HolderOperatorState::TaskOf(const ChangeRequest& aRequest) const
{
  return aRequest;
}

void
HolderOperatorState::OnWritten(const EncodedConfiguration& aWritten,
                               Instant aSent)
{
  mDependencies.mConfiguration.OnWritten(aWritten, aSent);
}

std::vector<CoverageGroup>
HolderOperatorState::Shards() const
{
  return mDependencies.mShards();
}

void
HolderOperatorState::UpdateNodes(InForceTracker* aTracker, Instant aNow)
{
  MembershipService& membership = mDependencies.mMembership;
  const Revision own =
    mDependencies.mConfiguration.Follower().RevisionInForce();
  aTracker->OnConfirmed(mSelf, own);
  mSeen.OnSeen(mSelf, aNow);
  const std::set<NodeName>& listed = membership.ListedNames();
  std::map<NodeName, Revision> confirmed{ { mSelf.mName, own } };
  for (const Member& member : membership.Table().Members(aNow)) {
    const MemberDescription& description = member.mDescription;
    if (member.mState == MemberState::Dead) {
      aTracker->OnNode(description.mIdentity);
      continue;
    }
    aTracker->OnConfirmed(description.mIdentity, description.mRevision);
    confirmed[description.mIdentity.mName] = description.mRevision;
    mSeen.OnSeen(description.mIdentity, aNow);
  }
  const std::optional<Roster>& roster = mDependencies.mLeases.CurrentRoster();
  if (roster) {
    std::vector<Revision> voters;
    for (const NodeName& voter : roster->mVoters) {
      voters.push_back(confirmed[voter]);
    }
    mBar.OnVoters(std::move(voters), roster->Majority(), aNow);
    const Region& home = membership.Table().Self().mRegion;
    for (const Member& member : membership.Table().Members(aNow)) {
      // Other regions have voters of their own, whose grants are not seen.
      if (member.mDescription.mRegion == home) {
        aTracker->OnLeasesLapsed(member.mDescription.mIdentity, mBar.Current());
      }
    }
  }
  for (const NodeRevision& node : aTracker->Nodes()) {
    if (listed.contains(node.mNode.mName)) {
      mSeen.OnSeen(node.mNode, aNow);
    }
  }
  mSeen.ForgetGone(aTracker, aNow);
}

} // namespace verbenachute
