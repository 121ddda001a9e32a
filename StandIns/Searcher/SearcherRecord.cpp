#include "SearcherRecord.h"

#include <algorithm>

namespace verbenachute::standins {

std::size_t
SearcherRecord::Started(ExecutionRecord aExecution, std::uint32_t aRunning)
{
  mPeakRunning = std::max(mPeakRunning, aRunning);
  if (mTakenOut) {
    ++mStartsAfterRemoval;
    mLastStartAfterRemoval = aExecution.mStart - *mTakenOut;
  }
  mExecutions.push_back(std::move(aExecution));
  return mExecutions.size() - 1;
}

void
SearcherRecord::Ended(std::size_t aNumber,
                      Ending aEnding,
                      UnixMilliseconds aNow)
{
  mExecutions[aNumber].mEnding = aEnding;
  mExecutions[aNumber].mEnd = aNow;
}

void
SearcherRecord::ConnectionOpened(std::size_t aOpen)
{
  mPeakConnections = std::max(mPeakConnections, aOpen);
}

void
SearcherRecord::TakenOut(UnixMilliseconds aNow)
{
  mTakenOut = aNow;
  mStartsAfterRemoval = 0;
  mLastStartAfterRemoval = UnixMilliseconds(0);
}

void
SearcherRecord::Returned()
{
  mTakenOut.reset();
}

Json::Value
SearcherRecord::Summary() const
{
  Json::Value summary;
  summary["executions"] = Json::UInt64(mExecutions.size());
  summary["peak_slots"] = mPeakRunning;
  summary["peak_connections"] = Json::UInt64(mPeakConnections);
  summary["connections_refused"] = Json::UInt64(mConnectionsRefused);
  summary["shed"] = Json::UInt64(mShed);
  summary["cancelled"] = Json::UInt64(mCancelled);
  summary["crashes"] = Json::UInt64(mCrashes);
  summary["fall_overs"] = Json::UInt64(mFallOvers);
  summary["starts_after_removal"] = Json::UInt64(mStartsAfterRemoval);
  summary["last_start_after_removal_ms"] =
    Json::Int64(mLastStartAfterRemoval.count());
  return summary;
}

void
SearcherRecord::AppendLines(const std::string& aTarget,
                            std::string* aLines) const
{
  for (const ExecutionRecord& execution : mExecutions) {
    const bool repeatable = execution.mIdempotency == Idempotency::Idempotent;
    *aLines += aTarget + '\t' + execution.mRequest.value() + '\t' +
               execution.mAttempt + '\t' +
               std::to_string(execution.mShard.value()) + '\t' +
               std::to_string(execution.mVersion.value()) + '\t' +
               (repeatable ? "idempotent" : "non-idempotent") + '\t' +
               std::to_string(execution.mStart.count()) + '\t' +
               std::to_string(execution.mEnd.count()) + '\t' +
               EndingName(execution.mEnding) + '\n';
  }
}

} // namespace verbenachute::standins
