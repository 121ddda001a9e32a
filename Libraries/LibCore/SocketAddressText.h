#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Reads "127.0.0.1:7001"; a host that is no IPv4 number or a port outside
/// 1 to 65535 is an InvalidInput error at the step Parse.
[[nodiscard]] Result<SocketAddress>
ParseSocketAddress(std::string_view aText);

[[nodiscard]] std::string
SocketAddressText(const SocketAddress& aAddress);

/// "node-1@12345": the name and incarnation of one life of a daemon.
[[nodiscard]] std::string
NodeIdentityText(const NodeIdentity& aIdentity);

/// Reads what NodeIdentityText writes; anything else is InvalidInput.
[[nodiscard]] Result<NodeIdentity>
ParseNodeIdentity(std::string_view aText);

} // namespace verbenachute
