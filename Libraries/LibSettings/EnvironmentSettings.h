#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

#include <string_view>

namespace verbenachute {

/// Reads settings from environment variables with the prefix VERBENACHUTE_. A
/// variable with the prefix that names no setting is an InvalidInput error at
/// step Settings. aEnvironment is an array of "NAME=VALUE" that ends with null.
/// aIgnoredVariable is the name of a variable that has the prefix but is not a
/// setting; empty if there is none.
[[nodiscard]] Result<RawSettings>
ReadEnvironmentSettings(const char* const* aEnvironment,
                        std::string_view aIgnoredVariable = {});

} // namespace verbenachute
