#pragma once

#include "OperatorStateSource.h"
#include "SeenNodes.h"

#include <LibEntry/EntryState.h>
#include <LibGossip/GossipTable.h>

namespace verbenachute {

/// The operators' configuration on a node that sends requests directly to
/// targets, which register themselves. Nodes report to each other by gossip the
/// revision that they have in force.
class EntryOperatorState final : public OperatorStateSource
{
public:
  struct Dependencies
  {
    EntryState& mEntryState;
    const GossipTable& mGossip;
    const StoreFollower& mFollower;
  };

  EntryOperatorState(const NodeIdentity& aSelf, Dependencies aDependencies);

  std::shared_ptr<const Configuration> InForce() override;
  Revision Known() const override;
  std::optional<Instant> Confirmed() const override;
  std::set<FailureDomain> DomainsOut() const override;
  WriterBase Base() const override;
  WriteTask TaskOf(const ChangeRequest& aRequest) const override;
  /// Nothing to do: this node learns of the change from the store, as all
  /// others do.
  void OnWritten(const EncodedConfiguration&, Instant) override {}
  /// None, since each shard is a service of its own here.
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
