#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/ServingPlan.h>

#include <map>
#include <vector>

namespace verbenachute {

/// A live node that may gather shards for this one.
struct PeerNode
{
  NodeName mName;
  FailureDomain mDomain;
  /// CPU that it may use, in thousandths of a core; 0 counts as 1.
  std::uint32_t mCpuMillicores = 1;
  /// Latest plan version that it has reported.
  PlanVersion mPlanVersion;
};

/// State of this node's peers, learned from delegations. Calls for peers that
/// are not set are ignored.
class PeerRecords
{
public:
  /// Sets the peers that may be sent delegations. Records of all others are
  /// dropped.
  void SetNodes(const std::vector<PeerNode>& aNodes);
  void OnPlanVersion(const NodeName& aPeer, PlanVersion aPlan);

  /// Returns the peer of the domain with the fewest running delegations
  /// relative to its CPU, among those that know the plan and did not fail
  /// lately; null if there is none. The pointer is valid until the next call of
  /// SetNodes.
  [[nodiscard]] const NodeName* Choose(const FailureDomain& aDomain,
                                       PlanVersion aPlan,
                                       Instant aNow) const;

  void OnSent(const NodeName& aPeer);
  /// The delegation has ended; nothing more is needed from the peer.
  void OnCompleted(const NodeName& aPeer);
  void OnAnswered(const NodeName& aPeer);
  /// The peer did not answer in time, refused, or its connection broke.
  void OnFailed(const NodeName& aPeer, Instant aNow);

private:
  struct Record
  {
    PeerNode mNode;
    std::size_t mOutstanding = 0;
    unsigned mConsecutiveFailures = 0;
    Instant mBackOffUntil;
  };

  std::map<NodeName, Record> mPeers;
};

} // namespace verbenachute
