#pragma once

#include <LibConfiguration/Proposal.h>
#include <LibCore/Time.h>

namespace verbenachute {

/// One accepted change. Repeated operations are recognized by the history.
struct HistoryEntry
{
  /// The revision that the change made.
  Revision mRevision;
  OperationId mOperation;
  OperatorName mOperator;
  UnixMilliseconds mWallTime{ 0 };
  /// Digest of the change, to distinguish a repeat from a reused id.
  std::string mDigest;
  /// One line for operators.
  std::string mSummary;

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

} // namespace verbenachute
