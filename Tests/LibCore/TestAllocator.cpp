#include <LibCore/Allocator.h>

#include <doctest/doctest.h>
#include <malloc.h>
#include <unistd.h>

#include <fstream>
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

/// Memory of the process that is in use by the system's account.
std::size_t
ResidentBytes()
{
  std::ifstream file("/proc/self/statm");
  std::size_t size = 0;
  std::size_t resident = 0;
  file >> size >> resident;
  return resident * static_cast<std::size_t>(sysconf(_SC_PAGESIZE));
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
  constexpr std::size_t kBlockBytes = 16 * kReturnedBlockBytes;
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

// Guards against buffers of a few kilobytes whose pages stay with the process
// after a crowd has left.
TEST_CASE("Pages of small blocks go back to the system on request")
{
  if (!UsesSystemAllocator()) {
    return;
  }
  constexpr std::size_t kBlocks = 8192;
  constexpr std::size_t kBlockBytes = 8UL * 1024;
  constexpr std::size_t kPinEvery = 64;
  std::vector<std::unique_ptr<char[]>> blocks;
  std::vector<std::unique_ptr<char[]>> pins;
  for (std::size_t i = 0; i < kBlocks; ++i) {
    blocks.push_back(std::make_unique<char[]>(kBlockBytes));
    if (i % kPinEvery == 0) {
      pins.push_back(std::make_unique<char[]>(1));
    }
  }
  const std::size_t full = ResidentBytes();
  blocks.clear();
  ReturnFreeMemory();
  CHECK(ResidentBytes() + kBlocks * kBlockBytes * 3 / 4 < full);
}

} // namespace verbenachute
