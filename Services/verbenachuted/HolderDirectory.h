#pragma once

#include <LibCore/Identifiers.h>
#include <LibLease/Bucket.h>

#include <optional>

namespace verbenachute {

/// A node and where to reach it.
struct PeerEndpoint
{
  NodeIdentity mIdentity;
  SocketAddress mAddress;
};

/// Tells which node holds a bucket, as far as its heartbeats say.
class HolderDirectory
{
public:
  virtual ~HolderDirectory() = default;
  /// The present life of another node that holds the bucket, if any is known.
  [[nodiscard]] virtual std::optional<PeerEndpoint> HolderOf(
    const Bucket& aBucket) const = 0;
};

} // namespace verbenachute
