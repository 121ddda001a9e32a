#pragma once

#include <string>
#include <utility>
#include <variant>

namespace verbenachute {

/// The step of a request, a change or a start at which an error arose.
enum class Step
{
  Settings,
  Parse,
  Admission,
  Plan,
  Route,
  Gate,
  Dispatch,
  Target,
  Merge,
  AtMostOnce,
  Membership,
  Lease,
  Store,
  Configuration,
  Shutdown,
};

/// What kind of error it was; callers act on this and not on the message.
enum class ErrorCode
{
  InvalidInput,
  TooLarge,
  NotFound,
  Forbidden,
  Conflict,
  Overloaded,
  DeadlinePassed,
  Unavailable,
  Unreachable,
  VersionGone,
  Refused,
  TargetFailed,
  Cancelled,
  NotHolder,
  Draining,
  Poisoned,
  TicketExpired,
  OutcomeUnknown,
  Internal,
};

/// What is known about the execution of a request that got no result.
enum class Execution
{
  /// No byte of the request has reached or can still reach a target.
  NotRun,
  /// A target may have run it, may be running it or may still run it.
  OutcomeUnknown,
  /// A target has run it.
  Ran,
};

struct Error
{
  Step mStep = Step::Parse;
  ErrorCode mCode = ErrorCode::Internal;
  /// Node, target or store at which the error arose; empty for this process.
  std::string mPeer;
  /// One sentence for a person.
  std::string mMessage;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either a value or the error that stood in its way.
template<typename Value>
using Result = std::variant<Value, Error>;

/// The value of an operation that gives nothing but its success.
using Success = std::monostate;

template<typename Value>
[[nodiscard]] bool
IsError(const Result<Value>& aResult)
{
  return std::holds_alternative<Error>(aResult);
}

template<typename Value>
[[nodiscard]] const Error&
ErrorOf(const Result<Value>& aResult)
{
  return std::get<Error>(aResult);
}

template<typename Value>
[[nodiscard]] const Value&
ValueOf(const Result<Value>& aResult)
{
  return std::get<Value>(aResult);
}

template<typename Value>
[[nodiscard]] Value
TakeValue(Result<Value>&& aResult)
{
  return std::get<Value>(std::move(aResult));
}

/// Names as they stand in logs, metrics and answers, such as "at_most_once".
[[nodiscard]] const char*
StepName(Step aStep);
[[nodiscard]] const char*
ErrorCodeName(ErrorCode aCode);
/// "not run", "outcome unknown" or "ran".
[[nodiscard]] const char*
ExecutionName(Execution aExecution);

} // namespace verbenachute
