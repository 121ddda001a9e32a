#include <LibCore/Allocator.h>

#include <doctest/doctest.h>
#include <malloc.h>

#include <memory>
#include <vector>

namespace verbenachute {

namespace {

/// Bytes that the allocator has from the system, free ones included.
std::size_t
ReservedBytes()
{
  const struct mallinfo2 state = mallinfo2();
  return state.arena + state.hblkhd;
}

/// Whether the program uses the allocator that is configured; sanitizers
/// replace it.
bool
UsesSystemAllocator()
{
  const std::size_t before = mallinfo2().uordblks;
  const std::unique_ptr<char[]> block = std::make_unique<char[]>(1024);
  return mallinfo2().uordblks > before;
}

} // namespace

// Guards against bodies that were freed and still take memory, because small
// blocks above them keep the heap from shrinking.
TEST_CASE("Large blocks go back to the system when they are freed")
{
  if (!UsesSystemAllocator()) {
    return;
  }
  constexpr std::size_t kBlocks = 64;
  constexpr std::size_t kBlockBytes = 4 * kReturnedBlockBytes;
  constexpr std::size_t kSmallBytes = 1024;
  ConfigureAllocator();
  // By default, this makes the allocator keep all blocks of up to this size.
  static_cast<void>(std::make_unique<char[]>(2 * kBlockBytes));
  const std::size_t before = ReservedBytes();
  std::vector<std::unique_ptr<char[]>> large;
  std::vector<std::unique_ptr<char[]>> small;
  for (std::size_t i = 0; i < kBlocks; ++i) {
    large.push_back(std::make_unique<char[]>(kBlockBytes));
    small.push_back(std::make_unique<char[]>(kSmallBytes));
  }
  CHECK(ReservedBytes() >= before + kBlocks * kBlockBytes);
  large.clear();
  CHECK(ReservedBytes() < before + kBlocks * kBlockBytes / 4);
}

} // namespace verbenachute
