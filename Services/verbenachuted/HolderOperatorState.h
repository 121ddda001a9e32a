#pragma once

#include "ConfigurationService.h"
#include "LeaseService.h"
#include "MembershipService.h"
#include "OperatorStateSource.h"
#include "SeenNodes.h"

#include <LibConfiguration/MinimumRevision.h>

#include <functional>

namespace verbenachute {

/// The operators' configuration of a node whose targets have holders: it is
/// in force where a node has confirmed it or gets no lease without it.
class HolderOperatorState final : public OperatorStateSource
{
public:
  struct Dependencies
  {
    ConfigurationService& mConfiguration;
    MembershipService& mMembership;
    LeaseService& mLeases;
    /// The shards of all services with the targets that have them.
    std::function<std::vector<CoverageGroup>()> mShards;
  };

  HolderOperatorState(const NodeIdentity& aSelf, Dependencies aDependencies);

  std::shared_ptr<const Configuration> InForce() override;
  Revision Known() const override;
  std::optional<Instant> Confirmed() const override;
  std::set<FailureDomain> DomainsOut() const override { return {}; }
  WriterBase Base() const override;
  WriteTask TaskOf(const ChangeRequest& aRequest) const override;
  void OnWritten(const EncodedConfiguration& aWritten, Instant aSent) override;
  std::vector<CoverageGroup> Shards() const override;
  void UpdateNodes(InForceTracker* aTracker, Instant aNow) override;
  sigc::signal<void()>& Applied() override { return mApplied; }

private:
  NodeIdentity mSelf;
  Dependencies mDependencies;
  MinimumRevision mBar;
  SeenNodes mSeen;
  sigc::signal<void()> mApplied;
};

} // namespace verbenachute
