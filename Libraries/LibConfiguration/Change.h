#pragma once

#include <LibConfiguration/Proposal.h>
#include <LibCore/Time.h>

#include <variant>
#include <vector>

namespace verbenachute {

/// Applies an edit immediately, if the policy allows the operator to.
struct MakeEdit
{
  Edit mEdit;
  CoverageLoss mCoverageLoss = CoverageLoss::Refused;

  friend bool operator==(const MakeEdit&, const MakeEdit&) = default;
};

/// Submits an edit for approval by another operator.
struct Propose
{
  Edit mEdit;
  CoverageLoss mCoverageLoss = CoverageLoss::Refused;

  friend bool operator==(const Propose&, const Propose&) = default;
};

/// Applies the edit of a proposal. The approver must not be the proposer.
struct Approve
{
  ProposalId mProposal;

  friend bool operator==(const Approve&, const Approve&) = default;
};

/// Discards a proposal. The proposer may do so too.
struct Reject
{
  ProposalId mProposal;

  friend bool operator==(const Reject&, const Reject&) = default;
};

using Change = std::variant<MakeEdit, Propose, Approve, Reject>;

/// Targets of which at least one has to stay admissible, such as the replicas
/// of a shard, which the targets report.
struct CoverageGroup
{
  /// For messages, such as "shard 3 of painel-doca".
  std::string mName;
  std::vector<TargetName> mTargets;
};

/// A change with its author and time.
struct ChangeRequest
{
  OperationId mOperation;
  OperatorName mOperator;
  Change mChange;
  UnixMilliseconds mWallTime{ 0 };
  /// Groups to check in addition to the services.
  std::vector<CoverageGroup> mGroups;
};

} // namespace verbenachute
