#pragma once

#include <LibCore/Error.h>
#include <LibGather/GatherMessage.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Encodes the payload of one frame as MessagePack.
[[nodiscard]] std::string
EncodeGather(const GatherMessage& aMessage);

/// Fails with InvalidInput at step Dispatch on bytes that EncodeGather did not
/// write, and on shard indexes that are not strictly ascending.
[[nodiscard]] Result<GatherMessage>
DecodeGather(std::string_view aBytes);

} // namespace verbenachute
