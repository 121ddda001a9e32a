#pragma once

#include <LibCore/Error.h>
#include <LibGossip/NodeStatus.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Encodes the payload of one datagram as MessagePack.
[[nodiscard]] std::string
EncodeGossip(const GossipMessage& aMessage);

/// Fails with InvalidInput at step Membership if the bytes are not a message
/// that EncodeGossip writes.
[[nodiscard]] Result<GossipMessage>
DecodeGossip(std::string_view aBytes);

} // namespace verbenachute
