#pragma once

#include <LibConfiguration/DomainEntry.h>
#include <LibConfiguration/HistoryEntry.h>
#include <LibConfiguration/LabelTable.h>
#include <LibConfiguration/Proposal.h>
#include <LibConfiguration/Selector.h>
#include <LibConfiguration/SteeringRule.h>
#include <LibConfiguration/TargetTable.h>

#include <map>
#include <memory>
#include <vector>

namespace verbenachute {

/// The contents of a configuration. Copies are cheap, as they share targets and
/// labels.
struct ConfigurationContent
{
  Revision mRevision;
  std::map<FailureDomain, DomainEntry> mDomains;
  std::shared_ptr<const TargetTable> mTargets =
    std::make_shared<TargetTable>(std::vector<TargetEntry>{});
  std::map<FailureDomain, LabelSet> mDomainLabels;
  LabelTable mTargetLabels;
  std::map<std::string, Selector> mSelectors;
  /// Empty policy: every operator may make every edit.
  std::vector<SteeringRule> mPolicy;
  std::map<ProposalId, Proposal> mProposals;
  /// Oldest first.
  std::vector<HistoryEntry> mHistory;
};

} // namespace verbenachute
