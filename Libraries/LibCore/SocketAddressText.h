#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>

#include <string>
#include <string_view>

namespace verbenachute {

/// Parses an address such as "127.0.0.1:7001". A host that is not an IPv4
/// address or a port outside 1 to 65535 is an InvalidInput error at step Parse.
[[nodiscard]] Result<SocketAddress>
ParseSocketAddress(std::string_view aText);

/// Formats an address as ParseSocketAddress accepts it.
[[nodiscard]] std::string
SocketAddressText(const SocketAddress& aAddress);

/// Formats a node identity as its name and incarnation, such as "node-1@12345".
[[nodiscard]] std::string
NodeIdentityText(const NodeIdentity& aIdentity);

/// Parses the output of NodeIdentityText. Any other text is an InvalidInput
/// error at step Parse.
[[nodiscard]] Result<NodeIdentity>
ParseNodeIdentity(std::string_view aText);

} // namespace verbenachute
