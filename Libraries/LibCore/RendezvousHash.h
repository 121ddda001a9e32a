#pragma once

#include <LibCore/Identifiers.h>

#include <cstdint>
#include <string_view>

namespace verbenachute {

/// Weight of a member for a key in rendezvous hashing. The member with the
/// highest weight owns the key, so the loss of a member moves only its own
/// keys.
[[nodiscard]] std::uint64_t
RendezvousWeight(std::string_view aKey, std::string_view aMember);

/// 64-bit hash of bytes that is the same in every process.
[[nodiscard]] std::uint64_t
StableHash(std::string_view aBytes);

/// Hash of a service and a query, independent of the request id.
[[nodiscard]] Fingerprint
FingerprintOf(const ServiceName& aService, std::string_view aQuery);

} // namespace verbenachute
