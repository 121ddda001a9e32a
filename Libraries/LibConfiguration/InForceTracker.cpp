#include <LibConfiguration/InForceTracker.h>

#include <algorithm>

namespace verbenachute {

void
InForceTracker::OnNode(const NodeIdentity& aNode)
{
  const auto [found, added] =
    mNodes.try_emplace(aNode.mName, NodeRevision{ aNode, {}, {} });
  if (!added && found->second.mNode.mIncarnation < aNode.mIncarnation) {
    found->second = NodeRevision{ aNode, {}, {} };
  }
}

void
InForceTracker::OnConfirmed(const NodeIdentity& aNode, Revision aRevision)
{
  OnNode(aNode);
  if (NodeRevision* node = Find(aNode)) {
    node->mConfirmed = std::max(node->mConfirmed, aRevision);
  }
}

void
InForceTracker::OnLeasesLapsed(const NodeIdentity& aNode, Revision aVotersKnow)
{
  if (NodeRevision* node = Find(aNode)) {
    node->mMinimumRevision = std::max(node->mMinimumRevision, aVotersKnow);
  }
}

void
InForceTracker::OnGone(const NodeIdentity& aNode)
{
  if (Find(aNode)) {
    mNodes.erase(aNode.mName);
  }
}

PropagationStatus
InForceTracker::StatusOf(Revision aRevision) const
{
  PropagationStatus status;
  status.mRevision = aRevision;
  for (const auto& [name, node] : mNodes) {
    if (node.mConfirmed >= aRevision) {
      status.mConfirmed.push_back(node.mNode);
    } else if (node.mMinimumRevision >= aRevision) {
      status.mUnableToDispatch.push_back(node.mNode);
    } else {
      status.mLagging.push_back(node.mNode);
    }
  }
  // Without any confirmation it is in force on no node.
  status.mPropagation = status.mLagging.empty() && !status.mConfirmed.empty()
                          ? Propagation::InForce
                          : Propagation::Spreading;
  return status;
}

std::vector<NodeRevision>
InForceTracker::Nodes() const
{
  std::vector<NodeRevision> nodes;
  for (const auto& [name, node] : mNodes) {
    nodes.push_back(node);
  }
  return nodes;
}

NodeRevision*
InForceTracker::Find(const NodeIdentity& aNode)
{
  const auto found = mNodes.find(aNode.mName);
  return found != mNodes.end() && found->second.mNode == aNode ? &found->second
                                                               : nullptr;
}

} // namespace verbenachute
