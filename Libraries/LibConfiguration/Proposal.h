#pragma once

#include <LibConfiguration/Difference.h>
#include <LibConfiguration/Edit.h>

#include <vector>

namespace verbenachute {

/// Name of one operation, chosen by who asks for it and kept over repeats.
using OperationId = Strong<struct OperationIdTag, std::string>;
/// A proposal is named by the operation that made it.
using ProposalId = OperationId;

/// An edit that waits for the approval of a second operator.
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
