#pragma once

#include <LibCore/Error.h>
#include <LibWire/PeerMessage.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// Encodes messages as one MessagePack array.
[[nodiscard]] std::string
EncodeBatch(const std::vector<PeerMessage>& aMessages);

/// Decodes the output of EncodeBatch. Any other input is an InvalidInput error
/// at step Parse; no message of a malformed batch is returned.
[[nodiscard]] Result<std::vector<PeerMessage>>
DecodeBatch(std::string_view aBytes);

} // namespace verbenachute
