#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

namespace verbenachute {

/// Settings from environment variables with the prefix VERBENACHUTE_. A
/// variable with the prefix that names no setting is an InvalidInput error.
/// aEnvironment is an array of "NAME=VALUE" that ends with null.
[[nodiscard]] Result<RawSettings>
ReadEnvironmentSettings(const char* const* aEnvironment);

} // namespace verbenachute
