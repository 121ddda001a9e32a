#include <LibGossip/GossipTable.h>

#include <algorithm>

// To whom a node sends its news.

namespace verbenachute {

namespace {

// Carriers that reach the nodes of a domain which has none.
constexpr std::size_t kAdopters = 2;
// A silent node is still sent to for this time.
constexpr Duration kSentOn = seconds(20);

} // namespace

std::vector<SocketAddress>
GossipTable::Missing(Instant aNow, bool aAll)
{
  std::set<SocketAddress> missing = mSeeds;
  for (const auto& entry : mPeers) {
    const SocketAddress& address = entry.second.mNews.mPeerAddress;
    if (aNow - entry.second.mHeard < kSentOn) {
      missing.erase(address);
    } else {
      missing.insert(address);
    }
  }
  std::vector<SocketAddress> chosen(missing.begin(), missing.end());
  std::shuffle(chosen.begin(), chosen.end(), mRandom);
  if (!aAll) {
    chosen.resize(std::min<std::size_t>(chosen.size(), 1));
  }
  return chosen;
}

std::vector<SocketAddress>
GossipTable::Orphans(Instant aNow) const
{
  std::set<FailureDomain> carried{ mSelf.mDomain };
  std::size_t carriersBefore = 0;
  for (const auto& entry : mPeers) {
    if (entry.second.mNews.mReach == NodeReach::All &&
        IsHeard(entry.second, aNow)) {
      carried.insert(entry.second.mNews.mDomain);
      carriersBefore += entry.first < mSelf.mIdentity.mName ? 1 : 0;
    }
  }
  std::vector<SocketAddress> orphans;
  for (const auto& entry : mPeers) {
    if (carriersBefore < kAdopters &&
        !carried.contains(entry.second.mNews.mDomain) &&
        aNow - entry.second.mHeard < kSentOn) {
      orphans.push_back(entry.second.mNews.mPeerAddress);
    }
  }
  return orphans;
}

GossipTable::Receivers
GossipTable::CarrierReceivers(Instant aNow)
{
  Receivers receivers;
  for (const auto& entry : mPeers) {
    const NodeNews& news = entry.second.mNews;
    if (aNow - entry.second.mHeard >= kSentOn) {
      continue;
    }
    if (IsHome(entry.second)) {
      receivers.mHome.push_back(news.mPeerAddress);
    } else if (IsSmall() || news.mReach == NodeReach::All) {
      receivers.mAbroad.push_back(news.mPeerAddress);
    }
  }
  if (!IsSmall()) {
    if (receivers.mAbroad.size() > mSettings.mCrowd) {
      std::shuffle(receivers.mAbroad.begin(), receivers.mAbroad.end(), mRandom);
      receivers.mAbroad.resize(mSettings.mCrowdFanout);
    }
    const std::vector<SocketAddress> orphans = Orphans(aNow);
    receivers.mHome.insert(
      receivers.mHome.end(), orphans.begin(), orphans.end());
  }
  const bool alone = receivers.mHome.empty() && receivers.mAbroad.empty();
  const std::vector<SocketAddress> missing = Missing(aNow, alone);
  receivers.mAbroad.insert(
    receivers.mAbroad.end(), missing.begin(), missing.end());
  return receivers;
}

std::vector<SocketAddress>
GossipTable::RestingReceivers(Instant aNow)
{
  std::vector<SocketAddress> carriers;
  std::vector<SocketAddress> homeCarriers;
  std::vector<SocketAddress> known;
  for (const auto& entry : mPeers) {
    const NodeNews& news = entry.second.mNews;
    if (aNow - entry.second.mHeard >= kSentOn) {
      continue;
    }
    known.push_back(news.mPeerAddress);
    if (news.mReach == NodeReach::All && IsHeard(entry.second, aNow)) {
      (IsHome(entry.second) ? homeCarriers : carriers)
        .push_back(news.mPeerAddress);
    }
  }
  std::vector<SocketAddress> receivers =
    homeCarriers.empty() ? carriers : homeCarriers;
  std::shuffle(receivers.begin(), receivers.end(), mRandom);
  receivers.resize(std::min(receivers.size(), mSettings.mFanout));
  std::shuffle(known.begin(), known.end(), mRandom);
  known.resize(std::min<std::size_t>(known.size(), 1));
  receivers.insert(receivers.end(), known.begin(), known.end());
  const std::vector<SocketAddress> missing = Missing(aNow, receivers.empty());
  receivers.insert(receivers.end(), missing.begin(), missing.end());
  return receivers;
}

} // namespace verbenachute
