#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Silence after which a node that is heard directly is not offered any more:
// three rounds and what a busy processor may hold back.
constexpr Duration kDirectSilence = milliseconds(1000);
// What the way over a carrier of the own domain adds: a round, and a lost one.
constexpr Duration kRelayedSilence = milliseconds(500);
// A silent node is forgotten after this time.
constexpr Duration kForget = seconds(120);
// Messages of a node that rests between them that may be lost in a row, and
// one for its way over another node.
constexpr int kRestsMissed = 3;
// How long a change of a node is told to everybody.
constexpr Duration kPressing = milliseconds(1200);
// Ages beyond a day are all alike.
constexpr milliseconds::rep kOldest = 86'400'000;
// Rounds in which a strike is sent.
constexpr unsigned kStrikeRounds = 6;
constexpr std::size_t kMostStrikes = 64;

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
      std::chrono::duration_cast<milliseconds>(*aStoreAge).count(), kOldest));
  }
  mSelf.mPlan = aPlan;
  mSelf.mIntent = aIntent;
}

void
GossipTable::AddStrike(const PoisonStrike& aStrike)
{
  if (mStrikes.size() < kMostStrikes) {
    mStrikes[{ aStrike.mFingerprint, aStrike.mTarget }] = kStrikeRounds;
  }
}

void
GossipTable::SetReach(NodeReach aReach)
{
  mSelf.mReach = IsSmall() ? NodeReach::All : aReach;
}

bool
GossipTable::IsSmall() const
{
  return mPeers.size() <= mSettings.mDirect;
}

Duration
GossipTable::SilenceLimit(const Peer& aPeer) const
{
  if (aPeer.mNews.mReach == NodeReach::Some) {
    return kDirectSilence + kRestsMissed * mSettings.mRest * mSettings.mPeriod;
  }
  const bool relayed = mSelf.mReach == NodeReach::Some && !IsHome(aPeer);
  return relayed ? kDirectSilence + kRelayedSilence : kDirectSilence;
}

bool
GossipTable::IsHeard(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.mHeard <= SilenceLimit(aPeer);
}

bool
GossipTable::IsHome(const Peer& aPeer) const
{
  return aPeer.mNews.mDomain == mSelf.mDomain;
}

bool
GossipTable::IsPressing(const Peer& aPeer, Instant aNow)
{
  return aNow - aPeer.mChanged < kPressing;
}

std::vector<GossipMessage>
GossipTable::Messages(RelayFlag aRelay, Instant aNow)
{
  std::vector<Peer*> chosen;
  std::vector<Peer*> relayed;
  std::vector<Peer*> rest;
  for (auto& entry : mPeers) {
    Peer& peer = entry.second;
    if (IsPressing(peer, aNow)) {
      chosen.push_back(&peer);
    } else if (peer.*aRelay && mSelf.mReach == NodeReach::All) {
      relayed.push_back(&peer);
    } else {
      rest.push_back(&peer);
    }
  }
  std::shuffle(chosen.begin(), chosen.end(), mRandom);
  std::shuffle(rest.begin(), rest.end(), mRandom);
  chosen.resize(std::min(chosen.size(), mSettings.mEntries));
  chosen.insert(chosen.end(), relayed.begin(), relayed.end());
  chosen.resize(
    std::min(chosen.size(), mSettings.mEntries * mSettings.mMostDatagrams));
  // One more, so that a node that started late finds the others.
  const bool fits = chosen.empty() || chosen.size() % mSettings.mEntries != 0;
  if (fits && !rest.empty()) {
    chosen.push_back(rest.front());
  }
  std::vector<GossipMessage> messages(1);
  messages.front().mNews.push_back(mSelf);
  for (const auto& strike : mStrikes) {
    messages.front().mStrikes.push_back(
      PoisonStrike{ strike.first.first, strike.first.second });
  }
  for (Peer* peer : chosen) {
    if (messages.back().mNews.size() > mSettings.mEntries) {
      messages.emplace_back().mNews.push_back(mSelf);
    }
    messages.back().mNews.push_back(peer->mNews);
    peer->*aRelay = false;
  }
  return messages;
}

std::vector<GossipTable::Datagram>
GossipTable::ToReceivers(Instant aNow)
{
  std::vector<Datagram> datagrams;
  const auto add = [&](const std::vector<SocketAddress>& aTo,
                       RelayFlag aRelay) {
    if (aTo.empty()) {
      return;
    }
    for (GossipMessage& message : Messages(aRelay, aNow)) {
      datagrams.push_back(Datagram{ aTo, std::move(message) });
    }
  };
  if (mSelf.mReach == NodeReach::Some) {
    add(RestingReceivers(aNow), &Peer::mRelayHome);
    return datagrams;
  }
  const Receivers receivers = CarrierReceivers(aNow);
  add(receivers.mHome, &Peer::mRelayHome);
  add(receivers.mAbroad, &Peer::mRelayAbroad);
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Round(Instant aNow)
{
  ++mSelf.mCount;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeard > kForget;
  });
  const bool rests =
    mSelf.mReach == NodeReach::Some && ++mRounds % mSettings.mRest != 0;
  if (rests) {
    return {};
  }
  std::vector<Datagram> datagrams = ToReceivers(aNow);
  for (auto strike = mStrikes.begin(); strike != mStrikes.end();) {
    strike = --strike->second == 0 ? mStrikes.erase(strike) : std::next(strike);
  }
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Announce(GossipSpread aSpread, Instant aNow)
{
  ++mSelf.mCount;
  if (aSpread == GossipSpread::AsRounds) {
    return ToReceivers(aNow);
  }
  Datagram datagram;
  datagram.mMessage.mNews.push_back(mSelf);
  for (const auto& entry : mPeers) {
    if (IsHeard(entry.second, aNow)) {
      datagram.mTo.push_back(entry.second.mNews.mPeerAddress);
    }
  }
  return { datagram };
}

void
GossipTable::Outlive(Incarnation aHeard)
{
  // The time of day went back between two lives of this node, so the others
  // would take this one for the earlier.
  if (aHeard > mSelf.mIdentity.mIncarnation) {
    mSelf.mIdentity.mIncarnation = Incarnation(aHeard.value() + 1);
  }
}

void
GossipTable::Merge(const NodeNews& aNews,
                   bool aFromItself,
                   bool aFromAbroad,
                   Instant aNow)
{
  const NodeName& name = aNews.mIdentity.mName;
  if (name == mSelf.mIdentity.mName) {
    Outlive(aNews.mIdentity.mIncarnation);
    return;
  }
  const auto [found, added] = mPeers.try_emplace(name);
  Peer& peer = found->second;
  const NodeNews& known = peer.mNews;
  const bool newer = std::pair(aNews.mIdentity.mIncarnation, aNews.mCount) >
                     std::pair(known.mIdentity.mIncarnation, known.mCount);
  if (!added && !newer) {
    if (aFromItself &&
        aNews.mIdentity.mIncarnation < known.mIdentity.mIncarnation) {
      // It must hear of the life that others take for its later one.
      peer.mChanged = aNow;
    }
    return;
  }
  const bool changed = added || aNews.mIdentity != known.mIdentity ||
                       aNews.mService != known.mService ||
                       aNews.mReach != known.mReach;
  const bool resting = aFromItself && aNews.mReach == NodeReach::Some;
  peer.mNews = aNews;
  peer.mHeard = aNow;
  peer.mChanged = changed ? aNow : peer.mChanged;
  // In a small fleet everybody hears everybody.
  const bool relays = !IsSmall();
  peer.mRelayHome = relays && (peer.mRelayHome || resting || aFromAbroad);
  peer.mRelayAbroad = relays && (peer.mRelayAbroad || resting);
}

std::vector<PoisonStrike>
GossipTable::Receive(const GossipMessage& aMessage, Instant aNow)
{
  const bool fromAbroad =
    !aMessage.mNews.empty() && aMessage.mNews.front().mDomain != mSelf.mDomain;
  for (std::size_t i = 0; i < aMessage.mNews.size(); ++i) {
    Merge(aMessage.mNews[i], i == 0, fromAbroad, aNow);
  }
  std::vector<PoisonStrike> fresh;
  for (const PoisonStrike& strike : aMessage.mStrikes) {
    if (!mStrikes.contains({ strike.mFingerprint, strike.mTarget })) {
      AddStrike(strike);
      fresh.push_back(strike);
    }
  }
  return fresh;
}

std::vector<NodeNews>
GossipTable::Offered(Instant aNow) const
{
  std::vector<NodeNews> offered;
  if (mSelf.mService == NodeService::Serving) {
    offered.push_back(mSelf);
  }
  for (const auto& entry : mPeers) {
    if (entry.second.mNews.mService == NodeService::Serving &&
        IsHeard(entry.second, aNow)) {
      offered.push_back(entry.second.mNews);
    }
  }
  std::sort(offered.begin(),
            offered.end(),
            [](const NodeNews& aOne, const NodeNews& aOther) {
              return aOne.mIdentity < aOther.mIdentity;
            });
  return offered;
}

bool
GossipTable::HearsElsewhere(Instant aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return !IsHome(aEntry.second) && IsHeard(aEntry.second, aNow);
  });
}

std::vector<NodeNews>
GossipTable::LastHeardElsewhere(Instant aNow) const
{
  std::vector<NodeNews> nodes;
  for (const auto& entry : mPeers) {
    const Peer& peer = entry.second;
    if (!IsHome(peer) && peer.mNews.mService == NodeService::Serving &&
        aNow - peer.mHeard <= kElsewhereMemory) {
      nodes.push_back(peer.mNews);
    }
  }
  return nodes;
}

std::vector<NodeName>
GossipTable::MayLive(Instant aNow) const
{
  std::vector<NodeName> names{ mSelf.mIdentity.mName };
  for (const auto& entry : mPeers) {
    if (aNow - entry.second.mHeard <= kMayLive) {
      names.push_back(entry.first);
    }
  }
  return names;
}

const NodeNews*
GossipTable::Informed(StoreRevision aNewerThan, Instant aNow)
{
  // One of them at random, so that a change is fetched from many nodes.
  const NodeNews* chosen = nullptr;
  bool home = false;
  unsigned seen = 0;
  for (const auto& entry : mPeers) {
    if (!IsHeard(entry.second, aNow) ||
        entry.second.mNews.mStore <= aNewerThan) {
      continue;
    }
    const bool isHome = IsHome(entry.second);
    if (isHome && !home) {
      home = true;
      seen = 0;
    }
    if (isHome == home && mRandom() % ++seen == 0) {
      chosen = &entry.second.mNews;
    }
  }
  return chosen;
}

std::optional<Duration>
GossipTable::StoreAge(Instant aNow) const
{
  std::optional<Duration> least;
  for (const auto& entry : mPeers) {
    if (!entry.second.mNews.mStoreAge.has_value()) {
      continue;
    }
    const Duration age = milliseconds(*entry.second.mNews.mStoreAge) +
                         (aNow - entry.second.mHeard);
    least = std::min(least.value_or(age), age);
  }
  return least;
}

std::size_t
GossipTable::Living(Instant aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
                 return IsHeard(aEntry.second, aNow);
               }));
}

std::vector<NodeNews>
GossipTable::Peers() const
{
  std::vector<NodeNews> peers;
  peers.reserve(mPeers.size());
  for (const auto& entry : mPeers) {
    peers.push_back(entry.second.mNews);
  }
  return peers;
}

bool
GossipTable::IsLiving(const NodeName& aPeer, Instant aNow) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && IsHeard(found->second, aNow);
}

} // namespace verbenachute
