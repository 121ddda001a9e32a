#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenachute {

namespace {

// Silence after which a node that is heard directly is not offered any more:
// three rounds and what a busy processor may hold back.
constexpr Duration kDirectSilence = milliseconds(1000);
// Rounds until news has passed through one more node in most cases: a message
// holds only some of the entries.
constexpr int kRoundsPerHop = 3;
// A silent node is forgotten after this time.
constexpr Duration kForget = seconds(120);
// How long a change of a node is told to everybody.
constexpr Duration kPressing = milliseconds(1200);
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
GossipTable::SetKnowledge(StoreRevision aStore, PlanVersion aPlan)
{
  mSelf.mStore = aStore;
  mSelf.mPlan = aPlan;
}

void
GossipTable::AddStrike(const PoisonStrike& aStrike)
{
  if (mStrikes.size() < kMostStrikes) {
    mStrikes[{ aStrike.mFingerprint, aStrike.mTarget }] = kStrikeRounds;
  }
}

Duration
GossipTable::SilenceLimit() const
{
  // News passes through one more node each time that the fleet is larger by
  // the fanout.
  const double nodes = static_cast<double>(mPeers.size() + 1);
  const double hops =
    std::max(1.0,
             std::ceil(std::log(nodes) /
                       std::log(static_cast<double>(mSettings.mFanout))));
  return kDirectSilence +
         static_cast<int>(hops - 1) * kRoundsPerHop * mSettings.mPeriod;
}

bool
GossipTable::IsHeard(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.mHeard <= SilenceLimit();
}

std::vector<SocketAddress>
GossipTable::Receivers(Instant aNow)
{
  std::vector<SocketAddress> living;
  std::vector<SocketAddress> others(mSeeds.begin(), mSeeds.end());
  for (const auto& entry : mPeers) {
    if (IsHeard(entry.second, aNow)) {
      living.push_back(entry.second.mNews.mPeerAddress);
    } else {
      others.push_back(entry.second.mNews.mPeerAddress);
    }
  }
  std::erase_if(others, [&](const SocketAddress& aAddress) {
    return std::find(living.begin(), living.end(), aAddress) != living.end();
  });
  std::shuffle(living.begin(), living.end(), mRandom);
  living.resize(std::min(living.size(), mSettings.mFanout));
  // Nodes that are not heard of may have come back or may only be cut off.
  const std::size_t tries =
    living.empty() ? others.size() : std::min<std::size_t>(others.size(), 1);
  std::shuffle(others.begin(), others.end(), mRandom);
  living.insert(living.end(),
                others.begin(),
                others.begin() + static_cast<std::ptrdiff_t>(
                                   std::min(tries, mSettings.mFanout)));
  return living;
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
  std::vector<const Peer*> peers;
  peers.reserve(mPeers.size());
  for (const auto& entry : mPeers) {
    peers.push_back(&entry.second);
  }
  std::shuffle(peers.begin(), peers.end(), mRandom);
  // Where each node hears all others itself, it needs to be told only of
  // those that have just come, gone or changed; one more lets a node that
  // started late find the rest.
  const bool direct = peers.size() <= mSettings.mFanout;
  std::stable_partition(peers.begin(), peers.end(), [&](const Peer* aPeer) {
    return IsPressing(*aPeer, aNow);
  });
  const std::size_t pressing = static_cast<std::size_t>(
    std::count_if(peers.begin(), peers.end(), [&](const Peer* aPeer) {
      return IsPressing(*aPeer, aNow);
    }));
  const std::size_t wanted = direct ? pressing + 1 : mSettings.mEntries;
  peers.resize(std::min({ peers.size(), wanted, mSettings.mEntries }));
  for (const Peer* peer : peers) {
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
  for (const SocketAddress& receiver : Receivers(aNow)) {
    datagrams.push_back(Datagram{ receiver, Message(aNow) });
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
  for (const auto& entry : mPeers) {
    if (IsHeard(entry.second, aNow)) {
      datagrams.push_back(
        Datagram{ entry.second.mNews.mPeerAddress, Message(aNow) });
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
  for (const NodeNews& news : aMessage.mNews) {
    const NodeName& name = news.mIdentity.mName;
    if (name == mSelf.mIdentity.mName) {
      Outlive(news.mIdentity.mIncarnation);
      continue;
    }
    const auto found = mPeers.find(name);
    if (found == mPeers.end()) {
      mPeers.emplace(name, Peer{ news, aNow, aNow });
      continue;
    }
    const NodeNews& known = found->second.mNews;
    const bool newer = std::pair(news.mIdentity.mIncarnation, news.mCount) >
                       std::pair(known.mIdentity.mIncarnation, known.mCount);
    if (newer) {
      const bool changed =
        news.mIdentity != known.mIdentity || news.mService != known.mService;
      found->second =
        Peer{ news, aNow, changed ? aNow : found->second.mChanged };
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
GossipTable::BestInformed(Instant aNow) const
{
  const NodeNews* best = nullptr;
  for (const auto& entry : mPeers) {
    if (IsHeard(entry.second, aNow) &&
        (best == nullptr || entry.second.mNews.mStore > best->mStore)) {
      best = &entry.second.mNews;
    }
  }
  return best;
}

} // namespace verbenachute
