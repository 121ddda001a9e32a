#pragma once

#include <LibConfiguration/Proposal.h>
#include <LibCore/Time.h>

namespace verbenachute {

/// One accepted change. The history also tells which operations were applied.
struct HistoryEntry
{
  /// The revision that the change made.
  Revision mRevision;
  OperationId mOperation;
  OperatorName mOperator;
  UnixMilliseconds mWallTime{ 0 };
  /// Digest of the change, so that a repeat is told from a reused id.
  std::string mDigest;
  /// One line for a person.
  std::string mSummary;

  friend bool operator==(const HistoryEntry&, const HistoryEntry&) = default;
};

} // namespace verbenachute
