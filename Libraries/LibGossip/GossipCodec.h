#pragma once

#include <LibCore/Error.h>
#include <LibGossip/NodeNews.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// The bytes of one datagram, in MessagePack.
[[nodiscard]] std::string
EncodeGossip(const GossipMessage& aMessage);

/// Bytes that EncodeGossip did not write are InvalidInput at step Membership.
[[nodiscard]] Result<GossipMessage>
DecodeGossip(std::string_view aBytes);

} // namespace verbenachute
