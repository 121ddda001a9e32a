#pragma once

#include <LibCore/Error.h>
#include <LibSettings/RawSettings.h>

#include <string_view>

namespace verbenachute {

/// Settings from environment variables with the prefix VERBENACHUTE_. A
/// variable with the prefix that names no setting is an InvalidInput error.
/// aEnvironment is an array of "NAME=VALUE" that ends with null. aForeign is a
/// variable that has the prefix and belongs to somebody else.
[[nodiscard]] Result<RawSettings>
ReadEnvironmentSettings(const char* const* aEnvironment,
                        std::string_view aForeign = {});

} // namespace verbenachute
