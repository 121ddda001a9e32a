#pragma once

#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Edit.h>

#include <vector>

namespace verbenachute {

/// Id of an operation. The requester chooses it and uses it again for repeats.
using OperationId = Strong<struct OperationIdTag, std::string>;
/// The id of a proposal is that of the operation that created it.
using ProposalId = OperationId;

/// An edit that needs the approval of a second operator.
struct Proposal
{
  ProposalId mId;
  OperatorName mProposer;
  Edit mEdit;
  CoverageLoss mCoverageLoss = CoverageLoss::Refused;
  /// What the edit would have changed when it was proposed. If it would
  /// change something else by the time of approval, approval is a Conflict.
  std::vector<Difference> mDifferences;
  Revision mProposedAt;

  friend bool operator==(const Proposal&, const Proposal&) = default;
};

} // namespace verbenachute
