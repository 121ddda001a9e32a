#include <LibGossip/GossipTable.h>

#include <algorithm>

// Selects the receivers of a node's messages.

namespace verbenachute {

namespace {

// Number of direct nodes that send to the nodes of a domain without one.
constexpr std::size_t kUncoveredDomainSenders = 2;
// Silence after which a node no longer gets regular messages, only probes.
constexpr Duration kKeepSendingTime = seconds(20);

} // namespace

std::vector<SocketAddress>
GossipTable::ProbeReceivers(Instant aNow, bool aAll)
{
  std::set<SocketAddress> probed = mSeeds;
  for (const auto& entry : mPeers) {
    const SocketAddress& address = entry.second.mStatus.mPeerAddress;
    if (aNow - entry.second.mIssuedAt < kKeepSendingTime) {
      probed.erase(address);
    } else {
      probed.insert(address);
    }
  }
  std::vector<SocketAddress> selected(probed.begin(), probed.end());
  std::shuffle(selected.begin(), selected.end(), mRandom);
  if (!aAll) {
    selected.resize(std::min<std::size_t>(selected.size(), 1));
  }
  return selected;
}

std::vector<SocketAddress>
GossipTable::UncoveredNodes(Instant aNow) const
{
  std::set<FailureDomain> coveredDomains{ mSelf.mDomain };
  std::size_t directNodesBefore = 0;
  for (const auto& entry : mPeers) {
    if (entry.second.mStatus.mGossipRole == GossipRole::Direct &&
        IsPeerAlive(entry.second, aNow)) {
      coveredDomains.insert(entry.second.mStatus.mDomain);
      directNodesBefore += entry.first < mSelf.mIdentity.mName ? 1 : 0;
    }
  }
  std::vector<SocketAddress> uncovered;
  for (const auto& entry : mPeers) {
    if (directNodesBefore < kUncoveredDomainSenders &&
        !coveredDomains.contains(entry.second.mStatus.mDomain) &&
        aNow - entry.second.mIssuedAt < kKeepSendingTime) {
      uncovered.push_back(entry.second.mStatus.mPeerAddress);
    }
  }
  return uncovered;
}

GossipTable::Receivers
GossipTable::DirectNodeReceivers(Instant aNow)
{
  Receivers receivers;
  for (const auto& entry : mPeers) {
    const NodeStatus& status = entry.second.mStatus;
    if (aNow - entry.second.mIssuedAt >= kKeepSendingTime) {
      continue;
    }
    if (IsInOwnDomain(entry.second)) {
      receivers.mOwnDomain.push_back(status.mPeerAddress);
    } else if (IsSmallFleet() || status.mGossipRole == GossipRole::Direct) {
      receivers.mOtherDomains.push_back(status.mPeerAddress);
    }
  }
  if (!IsSmallFleet()) {
    if (receivers.mOtherDomains.size() > mSettings.mStartupThreshold) {
      std::shuffle(receivers.mOtherDomains.begin(),
                   receivers.mOtherDomains.end(),
                   mRandom);
      receivers.mOtherDomains.resize(mSettings.mStartupFanout);
    }
    const std::vector<SocketAddress> uncovered = UncoveredNodes(aNow);
    receivers.mOwnDomain.insert(
      receivers.mOwnDomain.end(), uncovered.begin(), uncovered.end());
  }
  const bool hasNoReceivers =
    receivers.mOwnDomain.empty() && receivers.mOtherDomains.empty();
  const std::vector<SocketAddress> probed =
    ProbeReceivers(aNow, hasNoReceivers);
  receivers.mOtherDomains.insert(
    receivers.mOtherDomains.end(), probed.begin(), probed.end());
  return receivers;
}

std::vector<SocketAddress>
GossipTable::RelayedNodeReceivers(Instant aNow)
{
  std::vector<SocketAddress> directNodes;
  std::vector<SocketAddress> ownDomainDirectNodes;
  std::vector<SocketAddress> known;
  for (const auto& entry : mPeers) {
    const NodeStatus& status = entry.second.mStatus;
    if (aNow - entry.second.mIssuedAt >= kKeepSendingTime) {
      continue;
    }
    known.push_back(status.mPeerAddress);
    if (status.mGossipRole == GossipRole::Direct &&
        IsPeerAlive(entry.second, aNow)) {
      (IsInOwnDomain(entry.second) ? ownDomainDirectNodes : directNodes)
        .push_back(status.mPeerAddress);
    }
  }
  std::vector<SocketAddress> receivers =
    ownDomainDirectNodes.empty() ? directNodes : ownDomainDirectNodes;
  std::shuffle(receivers.begin(), receivers.end(), mRandom);
  receivers.resize(std::min(receivers.size(), mSettings.mRelayFanout));
  std::shuffle(known.begin(), known.end(), mRandom);
  known.resize(std::min<std::size_t>(known.size(), 1));
  receivers.insert(receivers.end(), known.begin(), known.end());
  const std::vector<SocketAddress> probed =
    ProbeReceivers(aNow, receivers.empty());
  receivers.insert(receivers.end(), probed.begin(), probed.end());
  return receivers;
}

} // namespace verbenachute
