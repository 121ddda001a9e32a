#pragma once

#include <LibCore/Strong.h>

#include <cstdint>

namespace verbenachute {

/// Counts how often the platform's store has been restored from an older copy
/// of itself. Revisions of different eras can not be compared.
using StoreEra = Strong<struct StoreEraTag, std::uint64_t>;

} // namespace verbenachute
