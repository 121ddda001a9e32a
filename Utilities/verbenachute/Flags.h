#pragma once

#include <LibOperator/ToolInput.h>

#include <string>
#include <vector>

namespace verbenachute {

/// Reads flags and environment. An unknown flag ends the process with a
/// message and status 1, as Abseil does; other faults are InvalidInput.
[[nodiscard]] Result<ToolInput>
ReadToolInput(int aCount,
              char** aWords,
              const char* const* aEnvironment,
              const std::string& aUsage);

} // namespace verbenachute
