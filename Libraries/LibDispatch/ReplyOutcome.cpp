#include <LibDispatch/ReplyOutcome.h>

#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

SubFailure
Failure(const SubQuery& aSubQuery,
        ErrorCode aCode,
        Execution aExecution,
        const char* aMessage)
{
  return SubFailure{
    Error{ Step::Target, aCode, aSubQuery.mTarget.value(), aMessage },
    aExecution
  };
}

std::variant<ShardResult, SubFailure>
ResultOf(const SubQuery& aSubQuery, const TargetReply& aReply)
{
  if (aReply.mVersion != aSubQuery.mVersion ||
      aReply.mShard != aSubQuery.mShard) {
    return Failure(aSubQuery,
                   ErrorCode::VersionGone,
                   Execution::Ran,
                   "the target answered for another version or shard");
  }
  return ShardResult{ aReply.mVersion, aReply.mShard, aReply.mHits };
}

} // namespace

std::variant<ShardResult, SubFailure>
OutcomeOf(const SubQuery& aSubQuery, const TargetReply& aReply)
{
  switch (aReply.mVerdict) {
    case TargetVerdict::Answered:
      return ResultOf(aSubQuery, aReply);
    case TargetVerdict::Malformed:
      return Failure(aSubQuery,
                     ErrorCode::InvalidInput,
                     Execution::NotRun,
                     "the target takes the sub-query for malformed");
    case TargetVerdict::EndedBeforeRun:
      return Failure(aSubQuery,
                     ErrorCode::DeadlinePassed,
                     Execution::NotRun,
                     "the deadline or a cancellation came before the run");
    case TargetVerdict::EndedWhileRunning:
      return Failure(aSubQuery,
                     ErrorCode::DeadlinePassed,
                     Execution::Ran,
                     "the deadline or a cancellation came during the run");
    case TargetVerdict::VersionNotHeld:
      return Failure(aSubQuery,
                     ErrorCode::VersionGone,
                     Execution::NotRun,
                     "the target does not hold this version of the shard");
    case TargetVerdict::Draining:
      return Failure(aSubQuery,
                     ErrorCode::Draining,
                     Execution::NotRun,
                     "the target takes no new work");
    case TargetVerdict::Shed:
      return Failure(aSubQuery,
                     ErrorCode::Overloaded,
                     Execution::NotRun,
                     "all slots of the target are busy");
    case TargetVerdict::Failed:
      return Failure(aSubQuery,
                     ErrorCode::TargetFailed,
                     Execution::Ran,
                     "the target failed during the run");
    case TargetVerdict::Unreadable:
      return Failure(aSubQuery,
                     ErrorCode::TargetFailed,
                     Execution::OutcomeUnknown,
                     "the reply of the target can not be read");
  }
  VERIFY(!"unknown verdict");
}

} // namespace verbenachute
