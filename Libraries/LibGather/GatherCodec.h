#pragma once

#include <LibCore/Error.h>
#include <LibGather/GatherMessage.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// The payload of one frame, in MessagePack.
[[nodiscard]] std::string
EncodeGather(const GatherMessage& aMessage);

/// Bytes that EncodeGather did not write, and places that do not rise, are
/// InvalidInput at step Dispatch.
[[nodiscard]] Result<GatherMessage>
DecodeGather(std::string_view aBytes);

} // namespace verbenachute
