#include <LibOperator/ExitStatus.h>

namespace verbenachute {

ExitStatus
ExitStatusOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
    case ErrorCode::TooLarge:
      return ExitStatus::BadInput;
    case ErrorCode::NotFound:
      return ExitStatus::NotFound;
    case ErrorCode::Forbidden:
      return ExitStatus::Forbidden;
    case ErrorCode::Conflict:
      return ExitStatus::Conflict;
    case ErrorCode::OutcomeUnknown:
      return ExitStatus::OutcomeUnknown;
    case ErrorCode::Overloaded:
    case ErrorCode::DeadlinePassed:
    case ErrorCode::Unavailable:
    case ErrorCode::Unreachable:
    case ErrorCode::Draining:
      return ExitStatus::Unavailable;
    default:
      return ExitStatus::Internal;
  }
}

} // namespace verbenachute
