#pragma once

#include <LibCore/QueryAnswer.h>

#include <string>

namespace verbenachute {

/// What an outcome says of the execution of its request.
[[nodiscard]] Execution
ExecutionOf(const QueryOutcome& aOutcome);

/// Memory that an outcome takes, in bytes.
[[nodiscard]] std::size_t
OutcomeBytes(const QueryOutcome& aOutcome);

/// The outcome without the answer, for when the answer is too large to keep.
[[nodiscard]] QueryRefusal
WithoutAnswer(const RequestId& aRequest, const QueryOutcome& aOutcome);

/// A refusal at the step AtMostOnce.
[[nodiscard]] QueryRefusal
OnceRefusal(const RequestId& aRequest,
            ErrorCode aCode,
            Execution aExecution,
            std::string aPeer,
            std::string aMessage);

} // namespace verbenachute
