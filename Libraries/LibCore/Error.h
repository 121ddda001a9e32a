#pragma once

#include <string>
#include <utility>
#include <variant>

namespace verbenachute {

/// The step of processing a request, applying a configuration change or
/// starting the daemon at which an error occurred.
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

/// Kind of an error. Callers act on the code and not on the message.
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

/// What is known about the execution of a request that has no result.
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
  /// Node, target or store at which the error occurred; empty for this process.
  std::string mPeer;
  /// Human-readable description in one sentence.
  std::string mMessage;

  friend bool operator==(const Error&, const Error&) = default;
};

/// Either the value of an operation or the error that prevented it.
template<typename Value>
using Result = std::variant<Value, Error>;

/// Value of an operation that returns nothing on success.
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
ReleaseValue(Result<Value>&& aResult)
{
  return std::get<Value>(std::move(aResult));
}

/// The names used in logs, metrics and responses, such as "at_most_once".
[[nodiscard]] const char*
StepName(Step aStep);
[[nodiscard]] const char*
ErrorCodeName(ErrorCode aCode);
/// "not run", "outcome unknown" or "ran".
[[nodiscard]] const char*
ExecutionName(Execution aExecution);

} // namespace verbenachute
