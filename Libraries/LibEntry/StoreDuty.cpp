#include <LibEntry/StoreDuty.h>

#include <LibEntry/OfferPolicy.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::size_t kMaxWatchers = 4;
// Until the first heartbeats have arrived a node does not know the size of the
// fleet.
constexpr Duration kStartupTime = milliseconds(700);
constexpr Duration kSmallFleetWatchWait = seconds(20);
// In a large fleet each answer of the store shows that a watcher still reaches
// it, so answers have to come often.
constexpr Duration kLargeFleetWatchWait = milliseconds(1500);
// A change of the configuration is due on all nodes within 3 s; the remainder
// is for a node to query the store itself.
constexpr Duration kMaxPeersStoreAge = milliseconds(2400);

} // namespace

StoreDuty::Duty
StoreDuty::Decide(const Facts& aFacts)
{
  if (aFacts.mLiving <= OfferPolicy::kSmallFleetNodes) {
    const bool startingUp = aFacts.mRunning < kStartupTime;
    return Duty{ startingUp ? FollowSource::Undecided : FollowSource::Store,
                 kSmallFleetWatchWait };
  }
  const std::size_t watchers =
    std::min(kMaxWatchers, aFacts.mAdvertised.size());
  const bool isWatcher = std::any_of(
    aFacts.mAdvertised.begin(),
    aFacts.mAdvertised.begin() + static_cast<std::ptrdiff_t>(watchers),
    [&](const NodeNews& aNode) {
      return aNode.mIdentity.mName == aFacts.mSelf;
    });
  const bool peersReachStore = aFacts.mPeersStoreAge.has_value() &&
                               *aFacts.mPeersStoreAge <= kMaxPeersStoreAge;
  if (isWatcher) {
    return Duty{ FollowSource::Store, kLargeFleetWatchWait };
  }
  if (aFacts.mAdvertised.empty() && aFacts.mRunning < kStartupTime) {
    return Duty{ FollowSource::Undecided, kLargeFleetWatchWait };
  }
  return Duty{ peersReachStore ? FollowSource::Peers : FollowSource::Store,
               kLargeFleetWatchWait };
}

} // namespace verbenachute
