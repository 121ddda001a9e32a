#include <LibConfiguration/ContentDigest.h>

#include <array>
#include <cstdio>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenachute {

std::string
ContentDigest(std::string_view aBytes)
{
  const XXH128_hash_t hash = XXH3_128bits(aBytes.data(), aBytes.size());
  std::array<char, 33> text{};
  std::snprintf(text.data(),
                text.size(),
                "%016llx%016llx",
                static_cast<unsigned long long>(hash.high64),
                static_cast<unsigned long long>(hash.low64));
  return { text.data(), 32 };
}

} // namespace verbenachute
