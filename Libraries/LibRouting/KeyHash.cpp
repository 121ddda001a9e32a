#include <LibRouting/KeyHash.h>

#include <nettle/memops.h>
#include <nettle/sha2.h>

namespace verbenachute {

KeyHash
HashKey(std::string_view aKey)
{
  sha256_ctx context;
  sha256_init(&context);
  sha256_update(
    &context, aKey.size(), reinterpret_cast<const std::uint8_t*>(aKey.data()));
  KeyHash::ValueType digest{};
  sha256_digest(&context, digest.size(), digest.data());
  return KeyHash(digest);
}

bool
EqualInConstantTime(const KeyHash& aOne, const KeyHash& aOther)
{
  return memeql_sec(aOne.value().data(),
                    aOther.value().data(),
                    aOne.value().size()) != 0;
}

} // namespace verbenachute
