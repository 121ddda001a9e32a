#pragma once

#include <LibRollout/RolloutReport.h>

#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// A record to write, together with the status for the operator, if this
/// product's key still has the expected revision; 0 if it must not exist.
struct RolloutWrite
{
  RolloutRecord mRecord;
  StoreRevision mExpected;
};

struct RolloutDispatch
{
  RolloutReport mReport;
  std::vector<NodeName> mReceivers;
};

/// A change for the log.
struct RolloutNotice
{
  enum class Kind
  {
    /// The node acts on another phase.
    Phase,
    /// The node has stopped sending to the new version.
    Stopped,
  };

  Kind mKind = Kind::Phase;
  std::string mReason;
};

/// What a node has to do for an order.
struct RolloutOutput
{
  std::optional<RolloutWrite> mWrite;
  std::vector<RolloutDispatch> mDispatches;
  std::vector<RolloutNotice> mNotices;
};

} // namespace verbenachute
