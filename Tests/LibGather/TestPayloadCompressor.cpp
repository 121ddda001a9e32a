#include <LibGather/PayloadCompressor.h>
#include <LibGather/PayloadDecompressor.h>

#include <doctest/doctest.h>
#include <random>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumBytes = 100'000;

std::string
RandomBytes(std::mt19937* aRandom, std::size_t aSize)
{
  std::string bytes;
  while (bytes.size() < aSize) {
    bytes += static_cast<char>((*aRandom)());
  }
  return bytes;
}

} // namespace

TEST_CASE("Payloads of any size and content survive in order")
{
  std::mt19937 random(1);
  PayloadCompressor compressor;
  PayloadDecompressor decompressor(kMaximumBytes);
  for (const std::size_t size :
       { 0U, 1U, 4U, 230U, 0U, 1500U, 2048U, 4096U, 90'000U, 3U }) {
    CAPTURE(size);
    for (const std::string& payload :
         { RandomBytes(&random, size), std::string(size, '\0') }) {
      const Result<std::string> restored =
        decompressor.Decompress(compressor.Compress(payload));
      REQUIRE(!IsError(restored));
      CHECK(ValueOf(restored) == payload);
    }
  }
}

TEST_CASE("What requests have in common is sent once")
{
  std::mt19937 random(2);
  PayloadCompressor compressor;
  const std::string common = RandomBytes(&random, 200);
  CHECK(compressor.Compress("17" + common).size() > 200);
  CHECK(compressor.Compress("18" + common).size() < 30);
}

TEST_CASE("Corrupt and oversized payloads are refused")
{
  std::mt19937 random(3);
  PayloadCompressor compressor;
  SUBCASE("oversized")
  {
    PayloadDecompressor decompressor(1000);
    CHECK(!IsError(
      decompressor.Decompress(compressor.Compress(std::string(1000, 'a')))));
    CHECK(IsError(decompressor.Decompress(
      compressor.Compress(std::string(10'000'000, 'a')))));
  }
  SUBCASE("random bytes never yield more than the limit")
  {
    std::size_t refused = 0;
    for (int i = 0; i < 500; ++i) {
      PayloadDecompressor decompressor(kMaximumBytes);
      const Result<std::string> restored =
        decompressor.Decompress(RandomBytes(&random, 200));
      refused += IsError(restored) ? 1 : 0;
      CHECK((IsError(restored) || ValueOf(restored).size() <= kMaximumBytes));
    }
    CHECK(refused > 400);
  }
}

} // namespace verbenachute
