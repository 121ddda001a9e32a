#include <LibEntry/StoreWatchRole.h>

#include <LibEntry/AdvertisementPolicy.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::size_t kMaxWatchers = 4;
// Until the first heartbeats have arrived a node does not know the size of the
// fleet.
constexpr Duration kStartupTime = milliseconds(700);
constexpr Duration kSmallFleetWatchTimeout = seconds(20);
// In a large fleet each answer of the store shows that a watcher still reaches
// it, so answers have to come often.
constexpr Duration kLargeFleetWatchTimeout = milliseconds(1500);
// A change of the configuration is due on all nodes within 3 s; the remainder
// is for a node to query the store itself.
constexpr Duration kMaxPeersStoreAge = milliseconds(2400);

} // namespace

StoreWatchRole::Role
StoreWatchRole::Choose(const Inputs& aInputs)
{
  if (aInputs.mAliveCount <= AdvertisementPolicy::kSmallFleetNodes) {
    const bool startingUp = aInputs.mRunning < kStartupTime;
    return Role{ startingUp ? UpdateSource::Undecided : UpdateSource::Store,
                 kSmallFleetWatchTimeout };
  }
  const std::size_t watchers =
    std::min(kMaxWatchers, aInputs.mAdvertised.size());
  const bool isWatcher = std::any_of(
    aInputs.mAdvertised.begin(),
    aInputs.mAdvertised.begin() + static_cast<std::ptrdiff_t>(watchers),
    [&](const NodeStatus& aNode) {
      return aNode.mIdentity.mName == aInputs.mSelf;
    });
  const bool peersReachStore = aInputs.mPeersStoreAge.has_value() &&
                               *aInputs.mPeersStoreAge <= kMaxPeersStoreAge;
  if (isWatcher) {
    return Role{ UpdateSource::Store, kLargeFleetWatchTimeout };
  }
  if (aInputs.mAdvertised.empty() && aInputs.mRunning < kStartupTime) {
    return Role{ UpdateSource::Undecided, kLargeFleetWatchTimeout };
  }
  return Role{ peersReachStore ? UpdateSource::Peers : UpdateSource::Store,
               kLargeFleetWatchTimeout };
}

} // namespace verbenachute
