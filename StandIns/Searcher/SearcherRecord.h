#pragma once

#include "ExecutionRecord.h"

#include <json/value.h>

#include <optional>
#include <string>
#include <vector>

namespace verbenachute::standins {

/// What one searcher has seen, for the checks of the scenarios.
class SearcherRecord
{
public:
  /// Returns the number under which the execution ends.
  std::size_t Started(ExecutionRecord aExecution, std::uint32_t aRunning);
  void Ended(std::size_t aNumber, Ending aEnding, UnixMilliseconds aNow);
  void ConnectionOpened(std::size_t aOpen);
  void ConnectionRefused() { ++mConnectionsRefused; }
  void Shed() { ++mShed; }
  void Cancelled() { ++mCancelled; }
  void Crashed() { ++mCrashes; }
  void FellOver() { ++mFallOvers; }
  /// From this moment on new executions count as work after the removal.
  void TakenOut(UnixMilliseconds aNow);
  void Returned();

  [[nodiscard]] Json::Value Summary() const;
  /// One line an execution: request, attempt, shard, version, "idempotent" or
  /// "non-idempotent", start and end in Unix milliseconds, and the ending.
  void AppendLines(const std::string& aTarget, std::string* aLines) const;

private:
  std::vector<ExecutionRecord> mExecutions;
  std::uint32_t mPeakRunning = 0;
  std::size_t mPeakConnections = 0;
  std::uint64_t mConnectionsRefused = 0;
  std::uint64_t mShed = 0;
  std::uint64_t mCancelled = 0;
  std::uint64_t mCrashes = 0;
  std::uint64_t mFallOvers = 0;
  std::optional<UnixMilliseconds> mTakenOut;
  /// Latest start of an execution after the removal, counted from it.
  UnixMilliseconds mLastStartAfterRemoval{ 0 };
  std::uint64_t mStartsAfterRemoval = 0;
};

} // namespace verbenachute::standins
