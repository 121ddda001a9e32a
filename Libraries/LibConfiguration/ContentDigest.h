#pragma once

#include <string>
#include <string_view>

namespace verbenachute {

/// 128-bit hash of bytes as 32 lower-case hexadecimal digits, the same in
/// every process. It detects damage and names content; it does not withstand
/// an attacker who can write to the store.
[[nodiscard]] std::string
ContentDigest(std::string_view aBytes);

} // namespace verbenachute
