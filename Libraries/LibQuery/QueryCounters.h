#pragma once

#include <cstdint>

namespace verbenachute {

/// What the queries of one node did, in numbers that only grow.
struct QueryCounters
{
  std::uint64_t mFirstAttempts = 0;
  std::uint64_t mHedges = 0;
  std::uint64_t mRetries = 0;
  std::uint64_t mReplans = 0;
  std::uint64_t mCancels = 0;
  /// Hedges and retries that the budget did not pay.
  std::uint64_t mUnpaid = 0;
  /// Queries whose sending ended since they may crash targets.
  std::uint64_t mPoisonSuspected = 0;
  /// Answers dropped: the query is over or was never run here.
  std::uint64_t mDroppedUnknownQuery = 0;
  /// Answers dropped: the query never made this attempt.
  std::uint64_t mDroppedUnknownAttempt = 0;
  /// Answers dropped: the attempt was answered or given up before.
  std::uint64_t mDroppedClosedAttempt = 0;
  /// Answers dropped: they come from another index version.
  std::uint64_t mDroppedWrongVersion = 0;
  /// Answers dropped: they come from another shard.
  std::uint64_t mDroppedWrongShard = 0;
};

} // namespace verbenachute
