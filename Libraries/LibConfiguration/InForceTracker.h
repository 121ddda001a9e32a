#pragma once

#include <LibCore/Identifiers.h>

#include <map>
#include <vector>

namespace verbenachute {

/// How far a revision has propagated.
enum class Propagation
{
  /// It is in force on every node that can dispatch.
  InForce,
  Spreading,
};

/// The revision that is known to be in force on a node.
struct NodeRevision
{
  NodeIdentity mNode;
  /// Largest revision that the node has confirmed; 0 before the first.
  Revision mConfirmed;
  /// The node can dispatch only under this revision or larger ones, whatever
  /// it has confirmed, since no voter grants it a lease under a smaller one.
  Revision mMinimumRevision;

  friend bool operator==(const NodeRevision&, const NodeRevision&) = default;
};

struct PropagationStatus
{
  Revision mRevision;
  Propagation mPropagation = Propagation::Spreading;
  std::vector<NodeIdentity> mConfirmed;
  /// Nodes without confirmation that can not dispatch under an older revision.
  std::vector<NodeIdentity> mUnableToDispatch;
  /// Nodes that may still dispatch under an older revision.
  std::vector<NodeIdentity> mLagging;
};

/// Tracks which revision is in force everywhere, and which nodes lag behind.
class InForceTracker
{
public:
  /// Adds a node that may be running. It counts even if it is no longer in the
  /// list of VMs. A later incarnation replaces it; an earlier one is ignored.
  void OnNode(const NodeIdentity& aNode);
  /// A node reports the revision in force on it. A smaller one than before is
  /// from a late message and ignored.
  void OnConfirmed(const NodeIdentity& aNode, Revision aRevision);
  /// All leases of the node have lapsed, and every majority of voters that
  /// could grant it one knows aVotersKnow.
  void OnLeasesLapsed(const NodeIdentity& aNode, Revision aVotersKnow);
  /// The node has stopped: its VM is gone and its leases have lapsed.
  void OnGone(const NodeIdentity& aNode);

  [[nodiscard]] PropagationStatus StatusOf(Revision aRevision) const;
  /// All tracked nodes, by name.
  [[nodiscard]] std::vector<NodeRevision> Nodes() const;

private:
  [[nodiscard]] NodeRevision* Find(const NodeIdentity& aNode);

  std::map<NodeName, NodeRevision> mNodes;
};

} // namespace verbenachute
