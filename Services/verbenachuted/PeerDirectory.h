#pragma once

#include <LibCore/Identifiers.h>

#include <optional>

namespace verbenachute {

/// Tells where the peers of this node can be reached.
class PeerDirectory
{
public:
  virtual ~PeerDirectory() = default;
  /// The peer address of a node that is known, whatever its state.
  [[nodiscard]] virtual std::optional<SocketAddress> PeerAddress(
    const NodeName& aNode) const = 0;
};

} // namespace verbenachute
