#pragma once

#include <LibCore/Identifiers.h>

#include <map>
#include <vector>

namespace verbenachute {

/// How far a revision has spread.
enum class Spread
{
  /// Every node has it in force or can't dispatch under an older one.
  InForce,
  Spreading,
};

/// What a node is known to have in force.
struct NodeRevision
{
  NodeIdentity mNode;
  /// Largest revision that the node has confirmed; 0 before the first.
  Revision mConfirmed;
  /// The node can dispatch only under this revision or larger ones, whatever
  /// it has confirmed, since no voter will grant it a lease below.
  Revision mBarredBelow;

  friend bool operator==(const NodeRevision&, const NodeRevision&) = default;
};

struct SpreadStatus
{
  Revision mRevision;
  Spread mSpread = Spread::Spreading;
  std::vector<NodeIdentity> mConfirmed;
  /// Nodes without confirmation that can't dispatch under an older revision.
  std::vector<NodeIdentity> mCannotDispatch;
  /// Nodes that may still dispatch under an older revision.
  std::vector<NodeIdentity> mLagging;
};

/// Tells which revision is in force everywhere, and which nodes lag.
class InForceTracker
{
public:
  /// A node that is or may be running. It is waited for from now on, also
  /// when the list of VMs no longer has it; a later life of the same VM takes
  /// its place, and an earlier one is ignored.
  void OnNode(const NodeIdentity& aNode);
  /// A node tells what it has in force. A smaller revision than before is a
  /// late message and changes nothing.
  void OnConfirmed(const NodeIdentity& aNode, Revision aRevision);
  /// All leases of the node have lapsed, and every majority of voters that
  /// could grant it one knows aVotersKnow.
  void OnLeasesLapsed(const NodeIdentity& aNode, Revision aVotersKnow);
  /// The node has stopped: its VM is gone and its leases have lapsed.
  void OnGone(const NodeIdentity& aNode);

  [[nodiscard]] SpreadStatus StatusOf(Revision aRevision) const;
  /// All nodes that are waited for, by name.
  [[nodiscard]] std::vector<NodeRevision> Nodes() const;

private:
  [[nodiscard]] NodeRevision* Find(const NodeIdentity& aNode);

  std::map<NodeName, NodeRevision> mNodes;
};

} // namespace verbenachute
