#pragma once

#include <cstddef>

namespace verbenachute {

/// Blocks of at least this size, in bytes, go back to the system when they are
/// freed.
inline constexpr std::size_t kReturnedBlockBytes = 16UL * 1024;

/// Configures the allocator of the process so that its memory follows what it
/// holds. To be called once, before the first large allocation.
void
ConfigureAllocator();

/// Gives the pages of free small blocks back to the system. Takes a few
/// milliseconds if many blocks are free.
void
ReturnFreeMemory();

} // namespace verbenachute
