#pragma once

#include <LibCore/Identifiers.h>
#include <LibRollout/RolloutCounts.h>
#include <LibRollout/RolloutRecord.h>

#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace verbenachute {

/// State of an order as one node sees it, for the other nodes. Repeated and
/// reordered reports are harmless.
struct RolloutReport
{
  NodeIdentity mSender;
  ServiceName mService;
  StoreRevision mOrder;
  /// Time since the order; empty if the node does not know it.
  std::optional<Duration> mElapsed;
  /// Latest phase that the node knows and acts on.
  RolloutPhase mPhase = RolloutPhase::Unknown;
  /// Whether the node has stopped sending to the new version for good.
  bool mIsStopped = false;
  /// Requests of the node that run at targets of the old version.
  std::uint64_t mRunningOld = 0;
  /// Shares of the requests for the new version by route, in millionths, that
  /// the coordinator has determined; empty from other nodes.
  std::map<std::string, std::uint32_t> mShares;
  RolloutCounts mCounts;

  friend bool operator==(const RolloutReport&, const RolloutReport&) = default;
};

} // namespace verbenachute
