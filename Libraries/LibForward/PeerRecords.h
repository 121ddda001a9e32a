#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibRouting/ServingPlan.h>

#include <map>
#include <vector>

namespace verbenachute {

/// A living node that may gather shards for this one.
struct PeerNode
{
  NodeName mName;
  FailureDomain mDomain;
  /// Processor that it may use, in thousandths of a core.
  std::uint32_t mPower = 1;
  /// The plan that it has said it knows.
  PlanVersion mPlan;
};

/// What this node has learnt of its peers from delegations.
class PeerRecords
{
public:
  /// The peers that may be asked now. What was learnt of others is dropped.
  void SetNodes(const std::vector<PeerNode>& aNodes);
  void OnPlan(const NodeName& aPeer, PlanVersion aPlan);

  /// The least busy peer of the domain that knows the plan and answers; null
  /// if there is none.
  [[nodiscard]] const NodeName* Choose(const FailureDomain& aDomain,
                                       PlanVersion aPlan,
                                       Instant aNow) const;

  void OnSent(const NodeName& aPeer);
  /// A delegation needs nothing of the peer any more.
  void OnEnded(const NodeName& aPeer);
  void OnAnswered(const NodeName& aPeer);
  /// It did not answer in time, refused, or its connection broke.
  void OnFailed(const NodeName& aPeer, Instant aNow);

private:
  struct Record
  {
    PeerNode mNode;
    std::size_t mRunning = 0;
    unsigned mFailuresInRow = 0;
    Instant mAvoidUntil;
  };

  std::map<NodeName, Record> mPeers;
};

} // namespace verbenachute
