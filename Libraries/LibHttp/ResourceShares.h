#pragma once

#include <cstddef>

namespace verbenachute {

/// Bytes that a connection of a client takes without any message.
inline constexpr std::size_t kConnectionBytes = 4UL * 1024;

/// How the memory and the descriptors of a process are divided.
struct ResourceShares
{
  /// Bytes that the connections of clients may take together.
  std::size_t mClientBytes = 0;
  /// Bytes of the responses of targets that are being received.
  std::size_t mTargetBytes = 0;
  std::size_t mCallerConnections = 0;
  std::size_t mDirectoryConnections = 0;
  /// Connections to targets.
  std::size_t mTargetConnections = 0;
  /// Links over which peers delegate requests to this node.
  std::size_t mGatherLinks = 0;
  /// Connections of peers that read the store's state or metrics.
  std::size_t mPeerConnections = 0;
  /// Connections for readiness checks.
  std::size_t mReadyConnections = 0;
  std::size_t mOperatorConnections = 0;
};

/// aMemoryBytes and aDescriptors are what the process may take in total. There
/// are fewer connections than descriptors if idle ones would take more than a
/// quarter of the account of clients' memory.
[[nodiscard]] ResourceShares
DivideResources(std::size_t aMemoryBytes, std::size_t aDescriptors);

} // namespace verbenachute
