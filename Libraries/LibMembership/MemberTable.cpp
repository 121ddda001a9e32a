#include <LibMembership/MemberTable.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

MemberTable::MemberTable(MemberDescription aSelf,
                         MemberSettings aSettings,
                         std::uint64_t aSeed,
                         Instant)
  : mSelf(std::move(aSelf))
  , mSettings(aSettings)
  , mSchedule(aSettings.mCellSize, aSettings.mFarProbes, aSeed)
  , mRumours(aSettings.mMaxRumours, aSettings.mRumourRepeats)
{
}

void
MemberTable::OnVmList(const std::vector<ListedVm>& aList, Instant aNow)
{
  for (auto& [name, entry] : mMembers) {
    entry.mListing = Listing::Unlisted;
  }
  for (const ListedVm& vm : aList) {
    if (vm.mName != mSelf.mIdentity.mName) {
      TakeListed(vm, aNow);
    }
  }
  std::erase_if(mMembers, [](const auto& aPair) {
    return aPair.second.mCounter == 0 &&
           aPair.second.mListing == Listing::Unlisted;
  });
}

void
MemberTable::TakeListed(const ListedVm& aVm, Instant aNow)
{
  Entry& entry = mMembers.try_emplace(aVm.mName).first->second;
  entry.mListing =
    aVm.mPhase == MemberPhase::Leaving ? Listing::Leaving : Listing::Live;
  const MemberState state = StateOf(entry, aNow);
  if (state != MemberState::Unheard && state != MemberState::Dead) {
    // The list lags; what the node says of itself is newer.
    return;
  }
  MemberDescription& description = entry.mDescription;
  description.mIdentity.mName = aVm.mName;
  description.mCallerAddress = aVm.mCallerAddress;
  description.mPeerAddress = aVm.mPeerAddress;
  description.mOperatorAddress = aVm.mOperatorAddress;
  description.mDomain = aVm.mDomain;
  description.mRegion = aVm.mRegion;
}

void
MemberTable::AddSeed(const SocketAddress& aPeerAddress)
{
  if (aPeerAddress != mSelf.mPeerAddress) {
    mSeeds.insert(aPeerAddress);
  }
}

std::vector<MemberChange>
MemberTable::OnHeartbeat(const MemberHeartbeat& aHeartbeat, Instant aNow)
{
  std::vector<MemberChange> changes;
  const NodeIdentity& sender = aHeartbeat.mSender.mIdentity;
  if (aHeartbeat.mEchoOf > mSelf.mIdentity.mIncarnation ||
      (sender.mName == mSelf.mIdentity.mName &&
       sender.mIncarnation > mSelf.mIdentity.mIncarnation)) {
    changes.push_back(
      MemberChange{ MemberChange::Kind::SelfReplaced, mSelf.mIdentity });
    return changes;
  }
  if (sender.mName == mSelf.mIdentity.mName) {
    return changes;
  }
  Entry* entry = EntryFor(aHeartbeat.mSender, &changes);
  if (entry == nullptr) {
    return changes;
  }
  Take(aHeartbeat, *entry, aNow);
  Report(*entry, aNow, &changes);
  for (const MemberRumour& rumour : aHeartbeat.mRumours) {
    TakeRumour(rumour, aNow, &changes);
  }
  return changes;
}

// The entry of this life of a node; null if it is an earlier life than the
// one known, or if there is no room.
MemberTable::Entry*
MemberTable::EntryFor(const MemberDescription& aMember,
                      std::vector<MemberChange>* aChanges)
{
  const NodeIdentity& identity = aMember.mIdentity;
  const auto found = mMembers.find(identity.mName);
  if (found == mMembers.end()) {
    if (mMembers.size() >= mSettings.mMaxMembers) {
      return nullptr;
    }
    Entry& entry = mMembers[identity.mName];
    entry.mDescription = aMember;
    return &entry;
  }
  Entry& entry = found->second;
  const Incarnation known = entry.mDescription.mIdentity.mIncarnation;
  if (identity.mIncarnation < known) {
    return nullptr;
  }
  if (identity.mIncarnation > known) {
    if (entry.mCounter > 0) {
      aChanges->push_back(
        MemberChange{ MemberChange::Kind::Replaced, identity });
    }
    const Listing listing = entry.mListing;
    entry = Entry{};
    entry.mListing = listing;
    entry.mDescription = aMember;
  }
  return &entry;
}

void
MemberTable::Take(const MemberHeartbeat& aHeartbeat,
                  Entry& aEntry,
                  Instant aNow)
{
  // A message that was overtaken by a newer one describes the past.
  if (aHeartbeat.mCounter > aEntry.mCounter) {
    const MemberPhase before = aEntry.mDescription.mPhase;
    aEntry.mCounter = aHeartbeat.mCounter;
    aEntry.mDescription = aHeartbeat.mSender;
    if (before == MemberPhase::Leaving) {
      // A life that leaves does not come back.
      aEntry.mDescription.mPhase = MemberPhase::Leaving;
    }
    aEntry.mHeardAt = aNow;
  }
  aEntry.mHeardCounter = std::max(aEntry.mHeardCounter, aHeartbeat.mCounter);
  TakeEcho(aHeartbeat, aEntry);
  if (std::ranges::find(aHeartbeat.mSeenLeaving, mSelf.mIdentity) !=
      aHeartbeat.mSeenLeaving.end()) {
    aEntry.mConfirmation = Confirmation::SeenLeaving;
  }
}

void
MemberTable::TakeEcho(const MemberHeartbeat& aHeartbeat, Entry& aEntry) const
{
  if (aHeartbeat.mEchoOf != mSelf.mIdentity.mIncarnation) {
    return;
  }
  const std::optional<Instant> sentAt = SentAt(aHeartbeat.mEcho);
  if (sentAt && (!aEntry.mFreshAt || *aEntry.mFreshAt < *sentAt)) {
    aEntry.mFreshAt = sentAt;
  }
}

std::optional<Instant>
MemberTable::SentAt(std::uint64_t aCounter) const
{
  if (aCounter == 0 || aCounter > mCounter ||
      mCounter - aCounter >= kSentRemembered) {
    return std::nullopt;
  }
  return mSentAt[aCounter % kSentRemembered];
}

void
MemberTable::TakeRumour(const MemberRumour& aRumour,
                        Instant aNow,
                        std::vector<MemberChange>* aChanges)
{
  const NodeIdentity& identity = aRumour.mMember.mIdentity;
  if (identity.mName == mSelf.mIdentity.mName) {
    // The own heartbeats refute what is said of this life.
    return;
  }
  const Member before =
    Find(identity.mName, aNow).value_or(Member{ aRumour.mMember });
  Entry* entry = EntryFor(aRumour.mMember, aChanges);
  if (entry == nullptr) {
    return;
  }
  const bool isNewer = aRumour.mCounter > entry->mCounter;
  if (aRumour.mKind == MemberRumour::Kind::Heard && isNewer) {
    entry->mCounter = aRumour.mCounter;
    entry->mDescription = aRumour.mMember;
    entry->mHeardAt = aNow;
  }
  if (aRumour.mKind == MemberRumour::Kind::Dead &&
      aRumour.mCounter >= entry->mCounter && !IsFresh(*entry, aNow)) {
    entry->mDeadRumour = aRumour.mCounter;
  }
  Report(*entry, aNow, aChanges);
  if (entry->mDescription.mIdentity != before.mDescription.mIdentity ||
      entry->mDescription.mPhase != before.mDescription.mPhase ||
      StateOf(*entry, aNow) != before.mState) {
    PassOn(aRumour.mKind, *entry);
  }
}

void
MemberTable::PassOn(MemberRumour::Kind aKind, const Entry& aEntry)
{
  MemberRumour rumour{ aKind, aEntry.mDescription, aEntry.mCounter };
  // Buckets and digests go with the heartbeats of their node.
  rumour.mMember.mBuckets.clear();
  mRumours.Add(rumour);
}

bool
MemberTable::IsFresh(const Entry& aEntry, Instant aNow) const
{
  return aEntry.mFreshAt && aNow - *aEntry.mFreshAt < mSettings.mSuspectAfter;
}

MemberState
MemberTable::StateOf(const Entry& aEntry, Instant aNow) const
{
  if (IsFresh(aEntry, aNow)) {
    return aEntry.mDescription.mPhase == MemberPhase::Leaving
             ? MemberState::Leaving
             : MemberState::Alive;
  }
  const Instant heardAt = std::max(aEntry.mHeardAt, aEntry.mWaitFrom);
  if (aEntry.mCounter > 0 && (aNow - heardAt >= mSettings.mDeadAfter ||
                              aEntry.mDeadRumour >= aEntry.mCounter)) {
    return MemberState::Dead;
  }
  return aEntry.mFreshAt ? MemberState::Suspect : MemberState::Unheard;
}

// Turns the difference to the state reported last into a change.
void
MemberTable::Report(Entry& aEntry,
                    Instant aNow,
                    std::vector<MemberChange>* aChanges)
{
  const MemberState before =
    std::exchange(aEntry.mReported, StateOf(aEntry, aNow));
  if (before == aEntry.mReported) {
    return;
  }
  const std::optional<MemberChange::Kind> kind =
    ChangeBetween(before, aEntry.mReported);
  if (!kind) {
    return;
  }
  aChanges->push_back(MemberChange{ *kind, aEntry.mDescription.mIdentity });
  if (*kind == MemberChange::Kind::Died) {
    PassOn(MemberRumour::Kind::Dead, aEntry);
  } else if (*kind != MemberChange::Kind::Suspected) {
    PassOn(MemberRumour::Kind::Heard, aEntry);
  }
}

std::optional<MemberChange::Kind>
MemberTable::ChangeBetween(MemberState aBefore, MemberState aAfter)
{
  switch (aAfter) {
    case MemberState::Unheard:
      return std::nullopt;
    case MemberState::Alive:
      return aBefore == MemberState::Unheard ? MemberChange::Kind::Joined
                                             : MemberChange::Kind::Refuted;
    case MemberState::Leaving:
      return MemberChange::Kind::Leaving;
    case MemberState::Suspect:
      return MemberChange::Kind::Suspected;
    case MemberState::Dead:
      return MemberChange::Kind::Died;
  }
  VERIFY(!"unknown member state");
}

MemberActions
MemberTable::Tick(Instant aNow)
{
  MemberActions actions;
  for (auto& [name, entry] : mMembers) {
    Report(entry, aNow, &actions.mChanges);
  }
  ForgetDead(aNow);
  if (!mLastSent || aNow - *mLastSent >= mSettings.mHeartbeatPeriod) {
    mLastSent = aNow;
    SendAll(aNow, &actions);
  }
  return actions;
}

void
MemberTable::SendAll(Instant aNow, MemberActions* aActions)
{
  ++mCounter;
  mSentAt[mCounter % kSentRemembered] = aNow;
  std::set<SocketAddress> unknownSeeds = mSeeds;
  for (const auto& [name, entry] : mMembers) {
    unknownSeeds.erase(entry.mDescription.mPeerAddress);
  }
  for (const NodeName& name : mSchedule.Next(
         mSelf.mIdentity.mName, NamesIn(mSelf.mRegion), NamesIn({}))) {
    const Entry& entry = mMembers.at(name);
    aActions->mSend.push_back(OutgoingHeartbeat{
      entry.mDescription.mPeerAddress, name, HeartbeatFor(&entry) });
  }
  for (const SocketAddress& seed : unknownSeeds) {
    aActions->mSend.push_back(
      OutgoingHeartbeat{ seed, NodeName(), HeartbeatFor(nullptr) });
  }
}

std::vector<NodeName>
MemberTable::NamesIn(const std::optional<Region>& aRegion) const
{
  std::vector<NodeName> names;
  for (const auto& [name, entry] : mMembers) {
    if (!aRegion || entry.mDescription.mRegion == *aRegion) {
      names.push_back(name);
    }
  }
  return names;
}

MemberHeartbeat
MemberTable::HeartbeatFor(const Entry* aEntry)
{
  MemberHeartbeat heartbeat;
  heartbeat.mSender = mSelf;
  heartbeat.mCounter = mCounter;
  if (aEntry != nullptr) {
    heartbeat.mEchoOf = aEntry->mDescription.mIdentity.mIncarnation;
    heartbeat.mEcho = aEntry->mHeardCounter;
  }
  for (const auto& [name, entry] : mMembers) {
    if (entry.mDescription.mPhase == MemberPhase::Leaving &&
        entry.mReported != MemberState::Dead) {
      heartbeat.mSeenLeaving.push_back(entry.mDescription.mIdentity);
    }
  }
  heartbeat.mRumours = mRumours.Next();
  return heartbeat;
}

void
MemberTable::ForgetDead(Instant aNow)
{
  std::erase_if(mMembers, [&](const auto& aPair) {
    const Entry& entry = aPair.second;
    return entry.mListing == Listing::Unlisted &&
           aNow - std::max(entry.mHeardAt, entry.mWaitFrom) >=
             mSettings.mForgetAfter;
  });
}

void
MemberTable::OnWake(Instant aNow)
{
  for (auto& [name, entry] : mMembers) {
    entry.mWaitFrom = aNow;
  }
}

std::vector<Member>
MemberTable::Members(Instant aNow) const
{
  std::vector<Member> members;
  for (const auto& [name, entry] : mMembers) {
    members.push_back(MemberOf(entry, aNow));
  }
  return members;
}

std::optional<Member>
MemberTable::Find(const NodeName& aName, Instant aNow) const
{
  const auto found = mMembers.find(aName);
  if (found == mMembers.end()) {
    return std::nullopt;
  }
  return MemberOf(found->second, aNow);
}

Member
MemberTable::MemberOf(const Entry& aEntry, Instant aNow) const
{
  const Instant since = aEntry.mFreshAt.value_or(aEntry.mHeardAt);
  return Member{ aEntry.mDescription, StateOf(aEntry, aNow), aNow - since };
}

std::vector<MemberDescription>
MemberTable::Offered(Instant aNow) const
{
  std::vector<MemberDescription> offered;
  std::vector<MemberDescription> listedLeaving;
  if (mSelf.mPhase == MemberPhase::Live) {
    offered.push_back(mSelf);
  }
  for (const auto& [name, entry] : mMembers) {
    if (!IsFresh(entry, aNow) ||
        entry.mDescription.mPhase != MemberPhase::Live) {
      continue;
    }
    if (entry.mListing == Listing::Leaving) {
      listedLeaving.push_back(entry.mDescription);
    } else {
      offered.push_back(entry.mDescription);
    }
  }
  // The list lags and may still mean an earlier life of the VM, so a VM that
  // it calls leaving is better than none.
  return offered.empty() ? listedLeaving : offered;
}

std::vector<NodeIdentity>
MemberTable::Unconfirmed(Instant aNow) const
{
  std::vector<NodeIdentity> unconfirmed;
  for (const auto& [name, entry] : mMembers) {
    if (entry.mCounter > 0 && StateOf(entry, aNow) != MemberState::Dead &&
        entry.mConfirmation == Confirmation::None) {
      unconfirmed.push_back(entry.mDescription.mIdentity);
    }
  }
  return unconfirmed;
}

Duration
MemberTable::LongestOffer() const
{
  return mSettings.mSuspectAfter;
}

} // namespace verbenachute
