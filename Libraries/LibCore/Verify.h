#pragma once

#include <cstdio>
#include <cstdlib>

namespace verbenachute {

// Reports a broken invariant and ends the process. A wrong answer is worse
// than a restarted node, so the check stays on in release builds.
[[noreturn]] inline void
InvariantBroken(const char* aExpression, const char* aFile, int aLine)
{
  std::fprintf(
    stderr, "invariant broken: %s at %s:%d\n", aExpression, aFile, aLine);
  std::abort();
}

} // namespace verbenachute

#define VERIFY(expression)                                                     \
  (static_cast<bool>(expression)                                               \
     ? static_cast<void>(0)                                                    \
     : ::verbenachute::InvariantBroken(#expression, __FILE__, __LINE__))
