#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Silence after which a node that is heard directly is not offered any more:
// three rounds and what a busy processor may hold back.
constexpr Duration kDirectSilence = milliseconds(1000);
// A silent node is forgotten after this time.
constexpr Duration kForget = seconds(120);
// Messages of a node that rests between them that may be lost in a row, and
// one for its way over another node.
constexpr int kRestsMissed = 3;
// A silent node is still sent to for this time.
constexpr Duration kSentOn = seconds(20);
// How long a change of a node is told to everybody.
constexpr Duration kPressing = milliseconds(1200);
// Rounds in which a strike is sent.
// Ages beyond a day are all alike.
constexpr milliseconds::rep kOldest = 86'400'000;
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
  if (aPeer.mNews.mReach == NodeReach::All) {
    return kDirectSilence;
  }
  return kDirectSilence + kRestsMissed * mSettings.mRest * mSettings.mPeriod;
}

bool
GossipTable::IsHeard(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.mHeard <= SilenceLimit(aPeer);
}

std::vector<SocketAddress>
GossipTable::Receivers(Instant aNow)
{
  std::vector<SocketAddress> carriers;
  std::vector<SocketAddress> known;
  std::vector<SocketAddress> others(mSeeds.begin(), mSeeds.end());
  for (const auto& entry : mPeers) {
    const NodeNews& news = entry.second.mNews;
    if (IsHeard(entry.second, aNow) && news.mReach == NodeReach::All) {
      carriers.push_back(news.mPeerAddress);
    }
    if (aNow - entry.second.mHeard < kSentOn) {
      known.push_back(news.mPeerAddress);
    } else {
      others.push_back(news.mPeerAddress);
    }
  }
  std::erase_if(others, [&](const SocketAddress& aAddress) {
    return std::find(known.begin(), known.end(), aAddress) != known.end();
  });
  std::shuffle(known.begin(), known.end(), mRandom);
  if (mSelf.mReach == NodeReach::Some) {
    std::shuffle(carriers.begin(), carriers.end(), mRandom);
    carriers.resize(std::min(carriers.size(), mSettings.mFanout));
    known.resize(std::min<std::size_t>(known.size(), 1));
    known.insert(known.end(), carriers.begin(), carriers.end());
  }
  // Nodes that are not heard of may have come back or may only be cut off.
  const std::size_t tries =
    known.empty() ? others.size() : std::min<std::size_t>(others.size(), 1);
  std::shuffle(others.begin(), others.end(), mRandom);
  others.resize(tries);
  known.insert(known.end(), others.begin(), others.end());
  return known;
}

bool
GossipTable::IsPressing(const Peer& aPeer, Instant aNow)
{
  return aNow - aPeer.mChanged < kPressing;
}

GossipMessage
GossipTable::Message(Instant aNow)
{
  GossipMessage message;
  message.mNews.push_back(mSelf);
  std::vector<const Peer*> pressing;
  std::vector<const Peer*> relayed;
  std::vector<const Peer*> rest;
  for (const auto& entry : mPeers) {
    const Peer& peer = entry.second;
    if (IsPressing(peer, aNow)) {
      pressing.push_back(&peer);
    } else if (peer.mToRelay && mSelf.mReach == NodeReach::All) {
      relayed.push_back(&peer);
    } else {
      rest.push_back(&peer);
    }
  }
  std::shuffle(pressing.begin(), pressing.end(), mRandom);
  std::shuffle(rest.begin(), rest.end(), mRandom);
  // One more, so that a node that started late finds the others.
  rest.resize(std::min<std::size_t>(rest.size(), 1));
  pressing.insert(pressing.end(), relayed.begin(), relayed.end());
  pressing.insert(pressing.end(), rest.begin(), rest.end());
  pressing.resize(std::min(pressing.size(), mSettings.mEntries));
  for (const Peer* peer : pressing) {
    message.mNews.push_back(peer->mNews);
  }
  for (const auto& strike : mStrikes) {
    message.mStrikes.push_back(
      PoisonStrike{ strike.first.first, strike.first.second });
  }
  return message;
}

std::vector<GossipTable::Datagram>
GossipTable::Round(Instant aNow)
{
  ++mSelf.mCount;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mHeard > kForget;
  });
  std::vector<Datagram> datagrams;
  const bool rests =
    mSelf.mReach == NodeReach::Some && ++mRounds % mSettings.mRest != 0;
  if (rests) {
    return datagrams;
  }
  const GossipMessage message = Message(aNow);
  for (const SocketAddress& receiver : Receivers(aNow)) {
    datagrams.push_back(Datagram{ receiver, message });
  }
  for (auto& entry : mPeers) {
    entry.second.mToRelay = false;
  }
  for (auto strike = mStrikes.begin(); strike != mStrikes.end();) {
    strike = --strike->second == 0 ? mStrikes.erase(strike) : std::next(strike);
  }
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Announce(Instant aNow)
{
  ++mSelf.mCount;
  std::vector<Datagram> datagrams;
  const GossipMessage message = Message(aNow);
  for (const auto& entry : mPeers) {
    if (IsHeard(entry.second, aNow)) {
      datagrams.push_back(Datagram{ entry.second.mNews.mPeerAddress, message });
    }
  }
  return datagrams;
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

std::vector<PoisonStrike>
GossipTable::Receive(const GossipMessage& aMessage, Instant aNow)
{
  for (std::size_t i = 0; i < aMessage.mNews.size(); ++i) {
    const NodeNews& news = aMessage.mNews[i];
    const bool fromItself = i == 0;
    const NodeName& name = news.mIdentity.mName;
    if (name == mSelf.mIdentity.mName) {
      Outlive(news.mIdentity.mIncarnation);
      continue;
    }
    const auto found = mPeers.find(name);
    if (found == mPeers.end()) {
      mPeers.emplace(name, Peer{ news, aNow, aNow, fromItself });
      continue;
    }
    const NodeNews& known = found->second.mNews;
    const bool newer = std::pair(news.mIdentity.mIncarnation, news.mCount) >
                       std::pair(known.mIdentity.mIncarnation, known.mCount);
    if (newer) {
      const bool changed = news.mIdentity != known.mIdentity ||
                           news.mService != known.mService ||
                           news.mReach != known.mReach;
      found->second = Peer{ news,
                            aNow,
                            changed ? aNow : found->second.mChanged,
                            fromItself && news.mReach == NodeReach::Some };
    }
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
  unsigned seen = 0;
  for (const auto& entry : mPeers) {
    if (!IsHeard(entry.second, aNow) ||
        entry.second.mNews.mStore <= aNewerThan) {
      continue;
    }
    if (mRandom() % ++seen == 0) {
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
