#pragma once

#include <LibCore/Error.h>
#include <LibWire/PeerMessage.h>

#include <string>
#include <string_view>
#include <vector>

namespace verbenachute {

/// Packs messages as one MessagePack array.
[[nodiscard]] std::string
EncodeBatch(const std::vector<PeerMessage>& aMessages);

/// Reads what EncodeBatch writes. Any other bytes are an InvalidInput error
/// at the step Parse; nothing of a malformed batch is given out.
[[nodiscard]] Result<std::vector<PeerMessage>>
DecodeBatch(std::string_view aBytes);

} // namespace verbenachute
