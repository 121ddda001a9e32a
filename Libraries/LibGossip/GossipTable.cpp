#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Silence after which a direct node counts as failed: three rounds, and the
// delay that a busy CPU may add.
constexpr Duration kDirectSilenceTimeout = milliseconds(1000);
// Added for a status that a direct node of the own domain relays: one round,
// and one lost round.
constexpr Duration kRelayAllowance = milliseconds(500);
// Silence after which a node is removed from the table.
constexpr Duration kForgetTimeout = seconds(120);
// Intervals of a relayed node that may pass without a status: messages lost in
// a row, and one interval for the relay.
constexpr int kMissedIntervals = 3;
// How long a changed status is sent to all receivers.
constexpr Duration kChangeSpreadTime = milliseconds(1200);
// Ages are limited to one day; larger ones make no difference.
constexpr milliseconds::rep kMaximumAgeMs = 86'400'000;
// Rounds in which a poison report is sent.
constexpr unsigned kPoisonReportRounds = 6;
constexpr std::size_t kMaximumPoisonReports = 64;

} // namespace

GossipTable::GossipTable(const Settings& aSettings, NodeNews aSelf)
  : mSettings(aSettings)
  , mSelf(std::move(aSelf))
  , mRandom(static_cast<std::minstd_rand::result_type>(aSettings.mSeed))
{
}

void
GossipTable::AddSeed(const SocketAddress& aAddress)
{
  if (aAddress != mSelf.mPeerAddress) {
    mSeeds.insert(aAddress);
  }
}

void
GossipTable::SetService(NodeService aService)
{
  mSelf.mService = aService;
}

void
GossipTable::SetKnowledge(StoreRevision aStore,
                          std::optional<Duration> aStoreAge,
                          PlanVersion aPlan,
                          Revision aIntent)
{
  mSelf.mStore = aStore;
  mSelf.mStoreAge.reset();
  if (aStoreAge.has_value()) {
    mSelf.mStoreAge = static_cast<std::uint32_t>(std::min<milliseconds::rep>(
      std::chrono::duration_cast<milliseconds>(*aStoreAge).count(),
      kMaximumAgeMs));
  }
  mSelf.mPlan = aPlan;
  mSelf.mIntent = aIntent;
}

void
GossipTable::AddStrike(const PoisonStrike& aReport)
{
  if (mStrikes.size() < kMaximumPoisonReports) {
    mStrikes[{ aReport.mFingerprint, aReport.mTarget }] = kPoisonReportRounds;
  }
}

void
GossipTable::SetReach(NodeReach aReach)
{
  mSelf.mReach = IsSmallFleet() ? NodeReach::All : aReach;
}

bool
GossipTable::IsSmallFleet() const
{
  return mPeers.size() <= mSettings.mDirect;
}

Duration
GossipTable::SilenceTimeout(const Peer& aPeer) const
{
  if (aPeer.mStatus.mReach == NodeReach::Some) {
    return kDirectSilenceTimeout +
           kMissedIntervals * mSettings.mRest * mSettings.mPeriod;
  }
  const bool isRelayed =
    mSelf.mReach == NodeReach::Some && !IsInOwnDomain(aPeer);
  return isRelayed ? kDirectSilenceTimeout + kRelayAllowance
                   : kDirectSilenceTimeout;
}

bool
GossipTable::IsPeerAlive(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.mLastUpdate <= SilenceTimeout(aPeer);
}

bool
GossipTable::IsInOwnDomain(const Peer& aPeer) const
{
  return aPeer.mStatus.mDomain == mSelf.mDomain;
}

bool
GossipTable::IsRecentlyChanged(const Peer& aPeer, Instant aNow)
{
  return aNow - aPeer.mLastChange < kChangeSpreadTime;
}

std::vector<GossipMessage>
GossipTable::BuildMessages(RelayFlag aRelay, Instant aNow)
{
  std::vector<Peer*> selected;
  std::vector<Peer*> relayedPeers;
  std::vector<Peer*> others;
  for (auto& entry : mPeers) {
    Peer& peer = entry.second;
    if (IsRecentlyChanged(peer, aNow)) {
      selected.push_back(&peer);
    } else if (peer.*aRelay && mSelf.mReach == NodeReach::All) {
      relayedPeers.push_back(&peer);
    } else {
      others.push_back(&peer);
    }
  }
  std::shuffle(selected.begin(), selected.end(), mRandom);
  std::shuffle(others.begin(), others.end(), mRandom);
  selected.resize(std::min(selected.size(), mSettings.mEntries));
  selected.insert(selected.end(), relayedPeers.begin(), relayedPeers.end());
  selected.resize(
    std::min(selected.size(), mSettings.mEntries * mSettings.mMostDatagrams));
  // One more entry, so that a node that started late finds the others.
  const bool hasRoom =
    selected.empty() || selected.size() % mSettings.mEntries != 0;
  if (hasRoom && !others.empty()) {
    selected.push_back(others.front());
  }
  std::vector<GossipMessage> messages(1);
  messages.front().mNews.push_back(mSelf);
  for (const auto& report : mStrikes) {
    messages.front().mStrikes.push_back(
      PoisonStrike{ report.first.first, report.first.second });
  }
  for (Peer* peer : selected) {
    if (messages.back().mNews.size() > mSettings.mEntries) {
      messages.emplace_back().mNews.push_back(mSelf);
    }
    messages.back().mNews.push_back(peer->mStatus);
    peer->*aRelay = false;
  }
  return messages;
}

std::vector<GossipTable::Datagram>
GossipTable::BuildDatagrams(Instant aNow)
{
  std::vector<Datagram> datagrams;
  const auto add = [&](const std::vector<SocketAddress>& aTo,
                       RelayFlag aRelay) {
    if (aTo.empty()) {
      return;
    }
    for (GossipMessage& message : BuildMessages(aRelay, aNow)) {
      datagrams.push_back(Datagram{ aTo, std::move(message) });
    }
  };
  if (mSelf.mReach == NodeReach::Some) {
    add(RelayedNodeReceivers(aNow), &Peer::mRelayToOwnDomain);
    return datagrams;
  }
  const Receivers receivers = DirectNodeReceivers(aNow);
  add(receivers.mOwnDomain, &Peer::mRelayToOwnDomain);
  add(receivers.mOtherDomains, &Peer::mRelayToOtherDomains);
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Round(Instant aNow)
{
  ++mSelf.mCount;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mLastUpdate > kForgetTimeout;
  });
  const bool skipsRound =
    mSelf.mReach == NodeReach::Some && ++mRoundCount % mSettings.mRest != 0;
  if (skipsRound) {
    return {};
  }
  std::vector<Datagram> datagrams = BuildDatagrams(aNow);
  for (auto report = mStrikes.begin(); report != mStrikes.end();) {
    report = --report->second == 0 ? mStrikes.erase(report) : std::next(report);
  }
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Announce(GossipSpread aSpread, Instant aNow)
{
  ++mSelf.mCount;
  if (aSpread == GossipSpread::AsRounds) {
    return BuildDatagrams(aNow);
  }
  Datagram datagram;
  datagram.mMessage.mNews.push_back(mSelf);
  for (const auto& entry : mPeers) {
    if (IsPeerAlive(entry.second, aNow)) {
      datagram.mTo.push_back(entry.second.mStatus.mPeerAddress);
    }
  }
  return { datagram };
}

void
GossipTable::SupersedeIncarnation(Incarnation aKnown)
{
  // The system clock was set back between two runs of this node, so that the
  // other nodes would regard this incarnation as the earlier one.
  if (aKnown > mSelf.mIdentity.mIncarnation) {
    mSelf.mIdentity.mIncarnation = Incarnation(aKnown.value() + 1);
  }
}

void
GossipTable::Merge(const NodeNews& aStatus,
                   bool aIsFirstHand,
                   bool aFromOtherDomain,
                   Instant aNow)
{
  const NodeName& name = aStatus.mIdentity.mName;
  if (name == mSelf.mIdentity.mName) {
    SupersedeIncarnation(aStatus.mIdentity.mIncarnation);
    return;
  }
  const auto [found, added] = mPeers.try_emplace(name);
  Peer& peer = found->second;
  const NodeNews& known = peer.mStatus;
  const bool isNewer =
    std::pair(aStatus.mIdentity.mIncarnation, aStatus.mCount) >
    std::pair(known.mIdentity.mIncarnation, known.mCount);
  if (!added && !isNewer) {
    if (aIsFirstHand &&
        aStatus.mIdentity.mIncarnation < known.mIdentity.mIncarnation) {
      // The sender has to receive the higher incarnation under which others
      // know it, so that it exceeds that one.
      peer.mLastChange = aNow;
    }
    return;
  }
  const bool hasChanged = added || aStatus.mIdentity != known.mIdentity ||
                          aStatus.mService != known.mService ||
                          aStatus.mReach != known.mReach;
  const bool isFirstHandRelayed =
    aIsFirstHand && aStatus.mReach == NodeReach::Some;
  peer.mStatus = aStatus;
  peer.mLastUpdate = aNow;
  peer.mLastChange = hasChanged ? aNow : peer.mLastChange;
  // In a small fleet every node sends to all others.
  const bool needsRelay = !IsSmallFleet();
  peer.mRelayToOwnDomain =
    needsRelay &&
    (peer.mRelayToOwnDomain || isFirstHandRelayed || aFromOtherDomain);
  peer.mRelayToOtherDomains =
    needsRelay && (peer.mRelayToOtherDomains || isFirstHandRelayed);
}

std::vector<PoisonStrike>
GossipTable::Receive(const GossipMessage& aMessage, Instant aNow)
{
  const bool fromOtherDomain =
    !aMessage.mNews.empty() && aMessage.mNews.front().mDomain != mSelf.mDomain;
  for (std::size_t i = 0; i < aMessage.mNews.size(); ++i) {
    Merge(aMessage.mNews[i], i == 0, fromOtherDomain, aNow);
  }
  std::vector<PoisonStrike> newReports;
  for (const PoisonStrike& report : aMessage.mStrikes) {
    if (!mStrikes.contains({ report.mFingerprint, report.mTarget })) {
      AddStrike(report);
      newReports.push_back(report);
    }
  }
  return newReports;
}

std::vector<NodeNews>
GossipTable::Offered(Instant aNow) const
{
  std::vector<NodeNews> serving;
  if (mSelf.mService == NodeService::Serving) {
    serving.push_back(mSelf);
  }
  for (const auto& entry : mPeers) {
    if (entry.second.mStatus.mService == NodeService::Serving &&
        IsPeerAlive(entry.second, aNow)) {
      serving.push_back(entry.second.mStatus);
    }
  }
  std::sort(serving.begin(),
            serving.end(),
            [](const NodeNews& aFirst, const NodeNews& aSecond) {
              return aFirst.mIdentity < aSecond.mIdentity;
            });
  return serving;
}

bool
GossipTable::HearsElsewhere(Instant aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return !IsInOwnDomain(aEntry.second) && IsPeerAlive(aEntry.second, aNow);
  });
}

std::vector<NodeNews>
GossipTable::LastHeardElsewhere(Instant aNow) const
{
  std::vector<NodeNews> nodes;
  for (const auto& entry : mPeers) {
    const Peer& peer = entry.second;
    if (!IsInOwnDomain(peer) && peer.mStatus.mService == NodeService::Serving &&
        aNow - peer.mLastUpdate <= kElsewhereMemory) {
      nodes.push_back(peer.mStatus);
    }
  }
  return nodes;
}

std::vector<NodeName>
GossipTable::MayLive(Instant aNow) const
{
  std::vector<NodeName> names{ mSelf.mIdentity.mName };
  for (const auto& entry : mPeers) {
    if (aNow - entry.second.mLastUpdate <= kMayLive) {
      names.push_back(entry.first);
    }
  }
  return names;
}

const NodeNews*
GossipTable::Informed(StoreRevision aNewerThan, Instant aNow)
{
  // Selected at random, so that a change is fetched from many nodes.
  const NodeNews* selected = nullptr;
  bool ownDomainOnly = false;
  unsigned candidates = 0;
  for (const auto& entry : mPeers) {
    if (!IsPeerAlive(entry.second, aNow) ||
        entry.second.mStatus.mStore <= aNewerThan) {
      continue;
    }
    const bool isInOwnDomain = IsInOwnDomain(entry.second);
    if (isInOwnDomain && !ownDomainOnly) {
      ownDomainOnly = true;
      candidates = 0;
    }
    if (isInOwnDomain == ownDomainOnly && mRandom() % ++candidates == 0) {
      selected = &entry.second.mStatus;
    }
  }
  return selected;
}

std::optional<Duration>
GossipTable::StoreAge(Instant aNow) const
{
  std::optional<Duration> minimumAge;
  for (const auto& entry : mPeers) {
    if (!entry.second.mStatus.mStoreAge.has_value()) {
      continue;
    }
    const Duration age = milliseconds(*entry.second.mStatus.mStoreAge) +
                         (aNow - entry.second.mLastUpdate);
    minimumAge = std::min(minimumAge.value_or(age), age);
  }
  return minimumAge;
}

std::size_t
GossipTable::Living(Instant aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
                 return IsPeerAlive(aEntry.second, aNow);
               }));
}

std::vector<NodeNews>
GossipTable::Peers() const
{
  std::vector<NodeNews> peers;
  peers.reserve(mPeers.size());
  for (const auto& entry : mPeers) {
    peers.push_back(entry.second.mStatus);
  }
  return peers;
}

bool
GossipTable::IsLiving(const NodeName& aPeer, Instant aNow) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && IsPeerAlive(found->second, aNow);
}

} // namespace verbenachute
