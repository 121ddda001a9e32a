#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

namespace verbenachute {

/// What the command line asks for besides the settings.
enum class StartMode
{
  Run,
  /// Check the settings and end.
  CheckOnly,
};

struct CommandLine
{
  RawSettings mSettings;
  StartMode mMode = StartMode::Run;
};

/// Reads the flags; a flag that is given wins over its environment variable.
/// Unknown flags end the process with a message and status 1, as Abseil does;
/// further words on the line are an InvalidInput error.
[[nodiscard]] Result<CommandLine>
ReadCommandLine(int aCount, char** aWords, const char* const* aEnvironment);

} // namespace verbenachute
