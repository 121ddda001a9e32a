#include <LibEntry/StoreDuty.h>

#include <LibEntry/OfferPolicy.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::size_t kWatchers = 4;
// Until the first heartbeats have come a node can not tell the fleet's size.
constexpr Duration kSettling = milliseconds(700);
constexpr Duration kLongWait = seconds(20);
// Watchers in a large fleet prove with each answer that they are in touch.
constexpr Duration kShortWait = milliseconds(1500);
// A change of the configuration is due within 3 s; this leaves time for a
// node to ask the store itself.
constexpr Duration kOldestContact = milliseconds(2400);

} // namespace

StoreDuty::Duty
StoreDuty::Decide(const Facts& aFacts)
{
  if (aFacts.mLiving <= OfferPolicy::kLeastNodes) {
    const bool settling = aFacts.mRunning < kSettling;
    return Duty{ settling ? FollowSource::Undecided : FollowSource::Store,
                 kLongWait };
  }
  const std::size_t watchers = std::min(kWatchers, aFacts.mCarriers.size());
  const bool watches = std::any_of(
    aFacts.mCarriers.begin(),
    aFacts.mCarriers.begin() + static_cast<std::ptrdiff_t>(watchers),
    [&](const NodeNews& aNode) {
      return aNode.mIdentity.mName == aFacts.mSelf;
    });
  const bool peersInTouch = aFacts.mPeersStoreAge.has_value() &&
                            *aFacts.mPeersStoreAge <= kOldestContact;
  if (watches) {
    return Duty{ FollowSource::Store, kShortWait };
  }
  if (aFacts.mCarriers.empty() && aFacts.mRunning < kSettling) {
    return Duty{ FollowSource::Undecided, kShortWait };
  }
  return Duty{ peersInTouch ? FollowSource::Peers : FollowSource::Store,
               kShortWait };
}

} // namespace verbenachute
