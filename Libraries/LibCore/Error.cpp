#include <LibCore/Error.h>

#include <LibCore/Verify.h>

namespace verbenachute {

const char*
StepName(Step aStep)
{
  switch (aStep) {
    case Step::Settings:
      return "settings";
    case Step::Parse:
      return "parse";
    case Step::Admission:
      return "admission";
    case Step::Plan:
      return "plan";
    case Step::Route:
      return "route";
    case Step::Gate:
      return "gate";
    case Step::Dispatch:
      return "dispatch";
    case Step::Target:
      return "target";
    case Step::Merge:
      return "merge";
    case Step::AtMostOnce:
      return "at_most_once";
    case Step::Membership:
      return "membership";
    case Step::Lease:
      return "lease";
    case Step::Store:
      return "store";
    case Step::Configuration:
      return "configuration";
    case Step::Shutdown:
      return "shutdown";
  }
  VERIFY(!"unknown step");
}

const char*
ErrorCodeName(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::InvalidInput:
      return "invalid_input";
    case ErrorCode::TooLarge:
      return "too_large";
    case ErrorCode::NotFound:
      return "not_found";
    case ErrorCode::Forbidden:
      return "forbidden";
    case ErrorCode::Conflict:
      return "conflict";
    case ErrorCode::Overloaded:
      return "overloaded";
    case ErrorCode::DeadlinePassed:
      return "deadline_passed";
    case ErrorCode::Unavailable:
      return "unavailable";
    case ErrorCode::Unreachable:
      return "unreachable";
    case ErrorCode::VersionGone:
      return "version_gone";
    case ErrorCode::Refused:
      return "refused";
    case ErrorCode::TargetFailed:
      return "target_failed";
    case ErrorCode::Cancelled:
      return "cancelled";
    case ErrorCode::NotHolder:
      return "not_holder";
    case ErrorCode::Draining:
      return "draining";
    case ErrorCode::Poisoned:
      return "poisoned";
    case ErrorCode::TicketExpired:
      return "ticket_expired";
    case ErrorCode::OutcomeUnknown:
      return "outcome_unknown";
    case ErrorCode::Internal:
      return "internal";
  }
  VERIFY(!"unknown error code");
}

const char*
ExecutionName(Execution aExecution)
{
  switch (aExecution) {
    case Execution::NotRun:
      return "not run";
    case Execution::OutcomeUnknown:
      return "outcome unknown";
    case Execution::Ran:
      return "ran";
  }
  VERIFY(!"unknown execution");
}

} // namespace verbenachute
