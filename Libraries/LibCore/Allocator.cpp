#include <LibCore/Allocator.h>

#include <malloc.h>

namespace verbenachute {

namespace {

// Free memory at the top of the heap that is kept for the next allocations.
constexpr int kKeptBytes = 256 * 1024;

} // namespace

void
ConfigureAllocator()
{
  // By default the threshold grows to the largest block that was freed. Bodies
  // then share the heap with small blocks, which keep its pages in use.
  mallopt(M_MMAP_THRESHOLD, static_cast<int>(kReturnedBlockBytes));
  mallopt(M_TRIM_THRESHOLD, kKeptBytes);
}

void
ReturnFreeMemory()
{
  malloc_trim(kKeptBytes);
}

} // namespace verbenachute
