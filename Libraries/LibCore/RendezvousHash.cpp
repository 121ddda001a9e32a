#include <LibCore/RendezvousHash.h>

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace verbenachute {

std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember)
{
  const std::uint64_t seed = XXH3_64bits(aKey.data(), aKey.size());
  return XXH3_64bits_withSeed(aMember.data(), aMember.size(), seed);
}

std::uint64_t
StableHash(std::string_view aBytes)
{
  return XXH3_64bits(aBytes.data(), aBytes.size());
}

Fingerprint
FingerprintOf(const ServiceName& aService, std::string_view aQuery)
{
  return Fingerprint(RendezvousWeight(aService.value(), aQuery));
}

} // namespace verbenachute
