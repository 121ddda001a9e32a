#include <LibQuery/FailureKind.h>

#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

FailureKind
KindOfLostTarget(const SubFailure& aFailure)
{
  if (aFailure.mExecution == Execution::NotRun ||
      aFailure.mError.mStep == Step::Route) {
    return FailureKind::Misrouted;
  }
  if (aFailure.mExecution == Execution::Ran) {
    return FailureKind::Failed;
  }
  return FailureKind::CrashLike;
}

} // namespace

FailureKind
FailureKindOf(const SubFailure& aFailure)
{
  switch (aFailure.mError.mCode) {
    case ErrorCode::Unreachable:
    case ErrorCode::TargetFailed:
    case ErrorCode::OutcomeUnknown:
      return KindOfLostTarget(aFailure);
    case ErrorCode::NotHolder:
    case ErrorCode::Unavailable:
      return FailureKind::Misrouted;
    case ErrorCode::Overloaded:
      return FailureKind::Overloaded;
    case ErrorCode::VersionGone:
      return FailureKind::VersionGone;
    case ErrorCode::NotFound:
    case ErrorCode::Draining:
    case ErrorCode::Refused:
    case ErrorCode::Forbidden:
      return FailureKind::TargetClosed;
    case ErrorCode::Poisoned:
      return FailureKind::Poisoned;
    case ErrorCode::DeadlinePassed:
    case ErrorCode::Cancelled:
      return FailureKind::OutOfTime;
    case ErrorCode::InvalidInput:
    case ErrorCode::TooLarge:
      return FailureKind::Rejected;
    case ErrorCode::Conflict:
    case ErrorCode::TicketExpired:
    case ErrorCode::Internal:
      return FailureKind::Failed;
  }
  VERIFY(!"unknown error code");
}

} // namespace verbenachute
