#pragma once

#include "SeenNodes.h"
#include "SteeringSource.h"

#include <LibEntry/EntryKnowledge.h>
#include <LibGossip/GossipTable.h>

namespace verbenachute {

/// The operators' configuration of a node that sends straight to targets,
/// which tell of themselves. Nodes tell each other what they have in force.
class EntrySteering final : public SteeringSource
{
public:
  struct Dependencies
  {
    EntryKnowledge& mKnowledge;
    const GossipTable& mGossip;
    const StoreFollower& mFollower;
  };

  EntrySteering(const NodeIdentity& aSelf, Dependencies aDependencies);

  std::shared_ptr<const Configuration> InForce() override;
  Revision Known() const override;
  std::optional<Instant> Confirmed() const override;
  std::set<FailureDomain> DomainsOut() const override;
  WriterBase Base() const override;
  WriteTask TaskOf(const ChangeRequest& aRequest) const override;
  /// The watch of the store tells this node, like all others.
  void OnWritten(const EncodedConfiguration&, Instant) override {}
  /// Each shard is a service of its own here.
  std::vector<CoverageGroup> Shards() const override { return {}; }
  void UpdateNodes(InForceTracker* aTracker, Instant aNow) override;
  sigc::signal<void()>& Applied() override { return mApplied; }

private:
  NodeIdentity mSelf;
  Dependencies mDependencies;
  SeenNodes mSeen;
  sigc::signal<void()> mApplied;
};

} // namespace verbenachute
