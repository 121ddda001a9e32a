#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Settings from the text of a file: one "name = value" a line. Empty lines
/// and lines that begin with '#' are skipped; an empty value leaves the
/// default. Any other line is an InvalidInput error at step Settings.
[[nodiscard]] Result<RawSettings>
ParseSettingsFile(std::string_view aText);

/// Reads the file and parses it; a file that can not be read is Unavailable.
[[nodiscard]] Result<RawSettings>
ReadSettingsFile(const std::string& aPath);

} // namespace verbenachute
