#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>
#include <LibSettings/Settings.h>

#include <string>

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
  /// Without those of the settings file.
  RawSettings mSettings;
  /// Path of the settings file; empty if there is none.
  std::string mSettingsFile;
  StartMode mMode = StartMode::Run;
};

/// Reads the flags; a flag that is given wins over its environment variable.
/// Unknown flags end the process with a message and status 1, as Abseil does;
/// further words on the line are an InvalidInput error.
[[nodiscard]] Result<CommandLine>
ReadCommandLine(int aCount, char** aWords, const char* const* aEnvironment);

/// Reads the settings file, if there is one, and checks all settings together.
/// Flags and variables win over the file.
[[nodiscard]] Result<Settings>
LoadSettings(const CommandLine& aCommandLine);

} // namespace verbenachute
