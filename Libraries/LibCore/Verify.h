#pragma once

#include <cstdio>
#include <cstdlib>

namespace verbenachute {

// Reports a failed VERIFY and aborts the process. The check stays enabled in
// release builds, because a wrong answer is worse than a restarted node.
[[noreturn]] inline void
VerificationFailed(const char* aExpression, const char* aFile, int aLine)
{
  std::fprintf(
    stderr, "invariant broken: %s at %s:%d\n", aExpression, aFile, aLine);
  std::abort();
}

} // namespace verbenachute

#define VERIFY(expression)                                                     \
  (static_cast<bool>(expression)                                               \
     ? static_cast<void>(0)                                                    \
     : ::verbenachute::VerificationFailed(#expression, __FILE__, __LINE__))
