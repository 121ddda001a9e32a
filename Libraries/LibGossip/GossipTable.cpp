#include <LibGossip/GossipTable.h>

#include <algorithm>
#include <tuple>
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
// Assumed for a status of unknown age: too old for any conclusion, but kept, so
// that a later status of the node is seen to follow it.
constexpr Duration kUnknownAge = seconds(60);
// A longer time between two rounds is a pause of this process, in which
// messages wait to be read.
constexpr Duration kPauseTimeout = milliseconds(1000);
// Intervals of a relayed node that may pass without a status: messages lost in
// a row, and one interval for the relay.
constexpr int kMissedIntervals = 3;
// How long a changed status is sent to all receivers.
constexpr Duration kChangeSpreadTime = milliseconds(1200);
// Ages are limited to one day; larger ones make no difference.
constexpr milliseconds::rep kMaximumAgeMs = 86'400'000;
// Rounds in which a poison observation is sent.
constexpr unsigned kPoisonObservationRounds = 6;
// Longer than copies of an observation are under way.
constexpr Duration kPoisonObservationMemory = seconds(10);
constexpr std::size_t kMaximumPoisonObservations = 512;
constexpr std::size_t kMaximumPoisonObservationsSent = 64;
constexpr std::size_t kMaximumPoisonConvictionsSent = 32;

std::uint32_t
AgeInMilliseconds(Duration aAge)
{
  return static_cast<std::uint32_t>(std::clamp<milliseconds::rep>(
    std::chrono::ceil<milliseconds>(aAge).count(), 0, kMaximumAgeMs));
}

} // namespace

GossipTable::GossipTable(const Settings& aSettings, NodeStatus aSelf)
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
GossipTable::SetServingState(ServingState aState)
{
  mSelf.mServingState = aState;
}

void
GossipTable::SetVersions(StorePosition aStorePosition,
                         std::optional<Duration> aStoreAge,
                         PlanVersion aPlanVersion,
                         Revision aConfigurationRevision)
{
  mSelf.mStoreRevision = aStorePosition.mRevision;
  mSelf.mStoreEra = aStorePosition.mEra;
  mSelf.mStoreAgeMs.reset();
  if (aStoreAge.has_value()) {
    mSelf.mStoreAgeMs = AgeInMilliseconds(*aStoreAge);
  }
  mSelf.mPlanVersion = aPlanVersion;
  mSelf.mConfigurationRevision = aConfigurationRevision;
}

void
GossipTable::AddPoisonObservation(const PoisonObservation& aObservation,
                                  Instant aNow)
{
  StorePoisonObservation(aObservation, true, aNow);
}

void
GossipTable::StorePoisonObservation(const PoisonObservation& aObservation,
                                    bool aIsOwn,
                                    Instant aNow)
{
  if (mPoisonObservations.size() >= kMaximumPoisonObservations) {
    const std::map<Fingerprint, std::size_t> counts = LostTargetCounts();
    const auto rank = [&](const auto& aEntry) {
      return std::pair(counts.at(aEntry.first.mFingerprint),
                       aEntry.second.mForgetAt);
    };
    mPoisonObservations.erase(
      std::min_element(mPoisonObservations.begin(),
                       mPoisonObservations.end(),
                       [&](const auto& aOne, const auto& aOther) {
                         return rank(aOne) < rank(aOther);
                       }));
  }
  mPoisonObservations[aObservation] = KnownObservation{
    kPoisonObservationRounds, aIsOwn, aNow + kPoisonObservationMemory
  };
}

std::map<Fingerprint, std::size_t>
GossipTable::LostTargetCounts() const
{
  std::map<Fingerprint, std::size_t> counts;
  for (const auto& entry : mPoisonObservations) {
    ++counts[entry.first.mFingerprint];
  }
  return counts;
}

std::vector<PoisonObservation>
GossipTable::DuePoisonObservations() const
{
  const std::map<Fingerprint, std::size_t> counts = LostTargetCounts();
  std::vector<decltype(mPoisonObservations)::const_iterator> due;
  for (auto entry = mPoisonObservations.begin();
       entry != mPoisonObservations.end();
       ++entry) {
    if (entry->second.mRoundsLeft > 0) {
      due.push_back(entry);
    }
  }
  const auto rank = [&](const auto& aEntry) {
    return std::tuple(counts.at(aEntry->first.mFingerprint),
                      aEntry->second.mIsOwn,
                      aEntry->second.mRoundsLeft);
  };
  std::stable_sort(
    due.begin(), due.end(), [&](const auto& aOne, const auto& aOther) {
      return rank(aOne) > rank(aOther);
    });
  due.resize(std::min(due.size(), kMaximumPoisonObservationsSent));
  std::vector<PoisonObservation> observations;
  observations.reserve(due.size());
  for (const auto& entry : due) {
    observations.push_back(entry->first);
  }
  return observations;
}

std::vector<PoisonConviction>
GossipTable::DuePoisonConvictions() const
{
  const bool isDue = mSelf.mGossipRole == GossipRole::Relayed ||
                     mRoundCount % mSettings.mUnchangedEntryInterval == 0;
  std::vector<PoisonConviction> due;
  const std::size_t total = mPoisonConvictions.size();
  const std::size_t count =
    isDue ? std::min(total, kMaximumPoisonConvictionsSent) : 0;
  const std::size_t turn = mRoundCount / mSettings.mUnchangedEntryInterval;
  due.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    due.push_back(
      mPoisonConvictions[(turn * kMaximumPoisonConvictionsSent + i) % total]);
  }
  return due;
}

void
GossipTable::SetGossipRole(GossipRole aGossipRole)
{
  mSelf.mGossipRole = IsSmallFleet() ? GossipRole::Direct : aGossipRole;
}

bool
GossipTable::IsSmallFleet() const
{
  return mPeers.size() <= mSettings.mFullMeshLimit;
}

Duration
GossipTable::SilenceTimeout(const Peer& aPeer) const
{
  if (aPeer.mStatus.mGossipRole == GossipRole::Relayed) {
    return kDirectSilenceTimeout + kMissedIntervals *
                                     mSettings.mRelayedRoundInterval *
                                     mSettings.mPeriod;
  }
  const bool isRelayed =
    mSelf.mGossipRole == GossipRole::Relayed && !IsInOwnDomain(aPeer);
  return isRelayed ? kDirectSilenceTimeout + kRelayAllowance
                   : kDirectSilenceTimeout;
}

bool
GossipTable::IsPeerAlive(const Peer& aPeer, Instant aNow) const
{
  return aNow - aPeer.mIssuedAt <= SilenceTimeout(aPeer);
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
    } else if (peer.*aRelay && mSelf.mGossipRole == GossipRole::Direct) {
      relayedPeers.push_back(&peer);
    } else {
      others.push_back(&peer);
    }
  }
  std::shuffle(selected.begin(), selected.end(), mRandom);
  std::shuffle(others.begin(), others.end(), mRandom);
  selected.resize(std::min(selected.size(), mSettings.mMaximumEntries));
  selected.insert(selected.end(), relayedPeers.begin(), relayedPeers.end());
  selected.resize(std::min(
    selected.size(), mSettings.mMaximumEntries * mSettings.mMaximumDatagrams));
  const bool isDue = mSelf.mGossipRole == GossipRole::Relayed ||
                     mRoundCount % mSettings.mUnchangedEntryInterval == 0;
  const bool hasRoom =
    isDue &&
    (selected.empty() || selected.size() % mSettings.mMaximumEntries != 0);
  if (hasRoom && !others.empty()) {
    selected.push_back(others.front());
  }
  std::vector<GossipMessage> messages(1);
  messages.front().mStatuses.push_back(mSelf);
  messages.front().mPoisonObservations = DuePoisonObservations();
  messages.front().mPoisonConvictions = DuePoisonConvictions();
  for (Peer* peer : selected) {
    if (messages.back().mStatuses.size() > mSettings.mMaximumEntries) {
      messages.emplace_back().mStatuses.push_back(mSelf);
    }
    NodeStatus& relayed = messages.back().mStatuses.emplace_back(peer->mStatus);
    relayed.mAgeMs = AgeInMilliseconds(aNow - peer->mIssuedAt);
    peer->*aRelay = false;
  }
  return messages;
}

std::vector<GossipTable::Datagram>
GossipTable::BuildDatagrams(AnnouncementScope aScope, Instant aNow)
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
  if (mSelf.mGossipRole == GossipRole::Relayed) {
    add(RelayedNodeReceivers(aNow), &Peer::mRelayToOwnDomain);
    return datagrams;
  }
  const Receivers receivers = DirectNodeReceivers(aNow);
  add(receivers.mOwnDomain, &Peer::mRelayToOwnDomain);
  if (aScope != AnnouncementScope::OwnDomain) {
    add(receivers.mOtherDomains, &Peer::mRelayToOtherDomains);
  }
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Round(Instant aNow)
{
  ++mSelf.mHeartbeatCount;
  mQueuedSince = WasPaused(aNow) ? mLastRound : std::nullopt;
  mLastRound = aNow;
  std::erase_if(mPeers, [&](const auto& aEntry) {
    return aNow - aEntry.second.mIssuedAt > kForgetTimeout;
  });
  ++mRoundCount;
  const bool skipsRound = mSelf.mGossipRole == GossipRole::Relayed &&
                          mRoundCount % mSettings.mRelayedRoundInterval != 0;
  if (skipsRound) {
    return {};
  }
  std::vector<Datagram> datagrams =
    BuildDatagrams(AnnouncementScope::GossipPeers, aNow);
  for (const PoisonObservation& sent : DuePoisonObservations()) {
    --mPoisonObservations.at(sent).mRoundsLeft;
  }
  std::erase_if(mPoisonObservations, [&](const auto& aEntry) {
    return aNow >= aEntry.second.mForgetAt;
  });
  return datagrams;
}

std::vector<GossipTable::Datagram>
GossipTable::Announce(AnnouncementScope aScope, Instant aNow)
{
  ++mSelf.mHeartbeatCount;
  if (aScope != AnnouncementScope::AllNodes) {
    return BuildDatagrams(aScope, aNow);
  }
  Datagram datagram;
  datagram.mMessage.mStatuses.push_back(mSelf);
  for (const auto& entry : mPeers) {
    if (IsPeerAlive(entry.second, aNow)) {
      datagram.mReceivers.push_back(entry.second.mStatus.mPeerAddress);
    }
  }
  return { datagram };
}

bool
GossipTable::WasPaused(Instant aNow) const
{
  return mLastRound.has_value() && aNow - *mLastRound > kPauseTimeout;
}

Instant
GossipTable::EarliestArrival(Instant aNow) const
{
  if (mQueuedSince.has_value()) {
    return *mQueuedSince;
  }
  return WasPaused(aNow) ? *mLastRound : aNow;
}

std::optional<Instant>
GossipTable::IssueTime(const NodeStatus& aStatus, Instant aNow) const
{
  if (!aStatus.mAgeMs.has_value()) {
    return std::nullopt;
  }
  return EarliestArrival(aNow) - milliseconds(*aStatus.mAgeMs);
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
GossipTable::Merge(const NodeStatus& aStatus,
                   bool aIsFirstHand,
                   bool aFromOtherDomain,
                   Instant aNow)
{
  const NodeName& name = aStatus.mIdentity.mName;
  if (name == mSelf.mIdentity.mName) {
    SupersedeIncarnation(aStatus.mIdentity.mIncarnation);
    return;
  }
  const std::optional<Instant> issueTime = IssueTime(aStatus, aNow);
  if (!mPeers.contains(name) && issueTime.has_value() &&
      aNow - *issueTime > kForgetTimeout) {
    return;
  }
  const auto [found, added] = mPeers.try_emplace(name);
  Peer& peer = found->second;
  const NodeStatus& known = peer.mStatus;
  const bool isNewer =
    std::pair(aStatus.mIdentity.mIncarnation, aStatus.mHeartbeatCount) >
    std::pair(known.mIdentity.mIncarnation, known.mHeartbeatCount);
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
                          aStatus.mServingState != known.mServingState ||
                          aStatus.mGossipRole != known.mGossipRole;
  const bool isFirstHandRelayed =
    aIsFirstHand && aStatus.mGossipRole == GossipRole::Relayed;
  // Where the age is unknown, the only sign of life is that the count has
  // advanced since an earlier status.
  const bool isSuccessor = !added && aStatus.mIdentity == known.mIdentity;
  const Instant assumedTime = isSuccessor ? aNow : aNow - kUnknownAge;
  const Instant issuedAt = issueTime.value_or(assumedTime);
  peer.mIssuedAt = added ? issuedAt : std::max(peer.mIssuedAt, issuedAt);
  peer.mStatus = aStatus;
  peer.mLastChange = hasChanged ? aNow : peer.mLastChange;
  // In a small fleet every node sends to all others.
  const bool needsRelay = !IsSmallFleet();
  peer.mRelayToOwnDomain =
    needsRelay &&
    (peer.mRelayToOwnDomain || isFirstHandRelayed || aFromOtherDomain);
  peer.mRelayToOtherDomains =
    needsRelay && (peer.mRelayToOtherDomains || isFirstHandRelayed);
}

std::vector<PoisonObservation>
GossipTable::Receive(const GossipMessage& aMessage, Instant aNow)
{
  const bool fromOtherDomain =
    !aMessage.mStatuses.empty() &&
    aMessage.mStatuses.front().mDomain != mSelf.mDomain;
  for (std::size_t i = 0; i < aMessage.mStatuses.size(); ++i) {
    Merge(aMessage.mStatuses[i], i == 0, fromOtherDomain, aNow);
  }
  std::vector<PoisonObservation> newObservations;
  for (const PoisonObservation& observation : aMessage.mPoisonObservations) {
    if (!mPoisonObservations.contains(observation)) {
      StorePoisonObservation(observation, false, aNow);
      newObservations.push_back(observation);
    }
  }
  return newObservations;
}

std::vector<NodeStatus>
GossipTable::ServingNodes(Instant aNow) const
{
  std::vector<NodeStatus> serving;
  if (mSelf.mServingState == ServingState::Serving) {
    serving.push_back(mSelf);
  }
  for (const auto& entry : mPeers) {
    if (entry.second.mStatus.mServingState == ServingState::Serving &&
        IsPeerAlive(entry.second, aNow)) {
      serving.push_back(entry.second.mStatus);
    }
  }
  std::sort(serving.begin(),
            serving.end(),
            [](const NodeStatus& aFirst, const NodeStatus& aSecond) {
              return aFirst.mIdentity < aSecond.mIdentity;
            });
  return serving;
}

bool
GossipTable::ReachesOtherDomains(Instant aNow) const
{
  return std::any_of(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
    return !IsInOwnDomain(aEntry.second) && IsPeerAlive(aEntry.second, aNow);
  });
}

std::size_t
GossipTable::CountInOtherDomains(
  const std::vector<SocketAddress>& aAddresses) const
{
  const std::set<SocketAddress> addresses(aAddresses.begin(), aAddresses.end());
  return static_cast<std::size_t>(
    std::count_if(mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
      return !IsInOwnDomain(aEntry.second) &&
             addresses.contains(aEntry.second.mStatus.mPeerAddress);
    }));
}

std::vector<NodeStatus>
GossipTable::RecentNodesOfOtherDomains(Instant aNow) const
{
  std::vector<NodeStatus> nodes;
  for (const auto& entry : mPeers) {
    const Peer& peer = entry.second;
    if (!IsInOwnDomain(peer) &&
        peer.mStatus.mServingState == ServingState::Serving &&
        aNow - peer.mIssuedAt <= kOtherDomainRetention) {
      nodes.push_back(peer.mStatus);
    }
  }
  return nodes;
}

std::vector<NodeName>
GossipTable::PossiblyAlive(Instant aNow) const
{
  std::vector<NodeName> names{ mSelf.mIdentity.mName };
  for (const auto& entry : mPeers) {
    if (aNow - entry.second.mIssuedAt <= kPossiblyAliveTime) {
      names.push_back(entry.first);
    }
  }
  return names;
}

const NodeStatus*
GossipTable::PeerWithNewerStore(StorePosition aNewerThan, Instant aNow)
{
  // Selected at random, so that a change is fetched from many nodes.
  const NodeStatus* selected = nullptr;
  bool ownDomainOnly = false;
  unsigned candidates = 0;
  for (const auto& entry : mPeers) {
    if (!IsPeerAlive(entry.second, aNow) ||
        entry.second.mStatus.Position() <= aNewerThan) {
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
    if (!entry.second.mStatus.mStoreAgeMs.has_value()) {
      continue;
    }
    const Duration age = milliseconds(*entry.second.mStatus.mStoreAgeMs) +
                         (aNow - entry.second.mIssuedAt);
    minimumAge = std::min(minimumAge.value_or(age), age);
  }
  return minimumAge;
}

std::size_t
GossipTable::AliveCount(Instant aNow) const
{
  return 1 + static_cast<std::size_t>(std::count_if(
               mPeers.begin(), mPeers.end(), [&](const auto& aEntry) {
                 return IsPeerAlive(aEntry.second, aNow);
               }));
}

std::vector<NodeStatus>
GossipTable::Peers() const
{
  std::vector<NodeStatus> peers;
  peers.reserve(mPeers.size());
  for (const auto& entry : mPeers) {
    peers.push_back(entry.second.mStatus);
  }
  return peers;
}

bool
GossipTable::IsAlive(const NodeName& aPeer, Instant aNow) const
{
  const auto found = mPeers.find(aPeer);
  return found != mPeers.end() && IsPeerAlive(found->second, aNow);
}

} // namespace verbenachute
