#pragma once

#include <LibConfiguration/Proposal.h>
#include <LibCore/Time.h>

#include <variant>
#include <vector>

namespace verbenachute {

/// Makes an edit at once, where the policy lets the operator.
struct MakeEdit
{
  Edit mEdit;
  CoverageLoss mCoverageLoss = CoverageLoss::Refused;

  friend bool operator==(const MakeEdit&, const MakeEdit&) = default;
};

/// Leaves an edit for the approval of another operator.
struct Propose
{
  Edit mEdit;
  CoverageLoss mCoverageLoss = CoverageLoss::Refused;

  friend bool operator==(const Propose&, const Propose&) = default;
};

/// Makes the edit of a proposal; by another operator than its proposer.
struct Approve
{
  ProposalId mProposal;

  friend bool operator==(const Approve&, const Approve&) = default;
};

/// Drops a proposal; its proposer may do so too.
struct Reject
{
  ProposalId mProposal;

  friend bool operator==(const Reject&, const Reject&) = default;
};

using Change = std::variant<MakeEdit, Propose, Approve, Reject>;

/// Targets of which at least one has to stay admissible, such as the
/// replicas of a shard. The daemon knows shards from what targets tell.
struct CoverageGroup
{
  /// For messages, such as "shard 3 of painel-doca".
  std::string mName;
  std::vector<TargetName> mTargets;
};

/// A change, who wants it, and when.
struct ChangeRequest
{
  OperationId mOperation;
  OperatorName mOperator;
  Change mChange;
  UnixMilliseconds mWallTime{ 0 };
  /// Groups besides the services, which are always checked.
  std::vector<CoverageGroup> mGroups;
};

} // namespace verbenachute
