#pragma once

#include <LibCore/QueryAnswer.h>

#include <string>

namespace verbenachute {

/// The HTTP status and JSON body that tell an outcome to a caller.
struct OutcomeText
{
  int mStatus = 200;
  std::string mBody;
};

[[nodiscard]] OutcomeText
WriteQueryOutcome(const QueryOutcome& aOutcome);

/// The status that stands for an error code.
[[nodiscard]] int
StatusOf(ErrorCode aCode);

} // namespace verbenachute
