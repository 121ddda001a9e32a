#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Parses the text of a settings file with one "name = value" in each line.
/// Empty lines and lines that begin with '#' are skipped; a setting with an
/// empty value keeps its default. Any other line is an InvalidInput error at
/// step Settings.
[[nodiscard]] Result<RawSettings>
ParseSettingsFile(std::string_view aText);

/// Reads and parses a settings file. A file that can not be read is an
/// Unavailable error at step Settings.
[[nodiscard]] Result<RawSettings>
ReadSettingsFile(const std::string& aPath);

} // namespace verbenachute
