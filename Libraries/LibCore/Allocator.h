#pragma once

#include <cstddef>

namespace verbenachute {

/// Blocks of at least this size, in bytes, go back to the system when they are
/// freed.
inline constexpr std::size_t kReturnedBlockBytes = 64UL * 1024;

/// Configures the allocator of the process so that its memory follows what it
/// holds. To be called once, before the first large allocation.
void
ConfigureAllocator();

} // namespace verbenachute
