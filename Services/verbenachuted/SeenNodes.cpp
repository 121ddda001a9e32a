#include "SeenNodes.h"

namespace verbenachute {

void
SeenNodes::OnSeen(const NodeIdentity& aNode, Instant aNow)
{
  mSeen[aNode] = aNow;
}

void
SeenNodes::ForgetGone(InForceTracker* aTracker, Instant aNow)
{
  for (const NodeRevision& node : aTracker->Nodes()) {
    const auto [seen, added] = mSeen.try_emplace(node.mNode, aNow);
    if (seen->second + kStoppedAfter <= aNow) {
      aTracker->OnGone(node.mNode);
    }
  }
  std::erase_if(mSeen, [&](const auto& aEntry) {
    return aEntry.second + kStoppedAfter <= aNow;
  });
}

} // namespace verbenachute
