#include <LibHttp/ResourceShares.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Descriptors of files, the platform's share of the limit.
constexpr std::size_t kFileDescriptors = 200;
constexpr std::size_t kMinimumConnections = 16;
// Of listeners for a few clients.
constexpr std::size_t kMinimumFewConnections = 8;
// Responses are small; only targets that send without end come near it.
constexpr std::size_t kMaximumTargetBytes = 24UL * 1024 * 1024;
// The largest response of a target must fit.
constexpr std::size_t kMinimumTargetBytes = 10UL * 1024 * 1024;

} // namespace

ResourceShares
DivideResources(std::size_t aMemoryBytes, std::size_t aDescriptors)
{
  ResourceShares shares;
  // The rest is for the process itself, the plan and copies in transit.
  shares.mClientBytes = aMemoryBytes / 8 * 3;
  shares.mTargetBytes =
    std::clamp(aMemoryBytes / 8, kMinimumTargetBytes, kMaximumTargetBytes);
  const std::size_t affordable =
    (shares.mClientBytes + shares.mTargetBytes) / 4 / kConnectionBytes;
  const std::size_t sockets = std::min(
    aDescriptors - std::min(aDescriptors, kFileDescriptors), affordable);
  // A third is reserved for peers, the store and targets.
  const std::size_t clients = sockets - sockets / 3;
  shares.mDirectoryConnections = std::max(clients / 8, kMinimumConnections);
  shares.mCallerConnections =
    std::max(clients - clients / 8, kMinimumConnections);
  const std::size_t reserve = sockets / 3;
  shares.mTargetConnections = std::max(reserve / 2, kMinimumConnections);
  shares.mGatherLinks = std::max(reserve / 4, kMinimumConnections);
  shares.mPeerConnections = std::max(reserve / 8, kMinimumConnections);
  shares.mReadyConnections = std::max(reserve / 32, kMinimumFewConnections);
  shares.mOperatorConnections = std::max(reserve / 32, kMinimumFewConnections);
  // The rest is for links to peers and the store.
  return shares;
}

} // namespace verbenachute
