#include <LibStore/StoreFollower.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

StoreFollower::StoreFollower(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mBackoff(mSettings.mSelf,
             mSettings.mFirstBackOff,
             mSettings.mLongestBackOff)
{
}

void
StoreFollower::OnAnswer(Instant aNow)
{
  mCallRunning = false;
  mLastAnswer = aNow;
  mWatchSuspect = false;
  mBackoff.OnSuccess();
  if (mFailingSince.has_value()) {
    mFailingSince.reset();
    mRestoredAt = aNow;
  }
}

void
StoreFollower::BeginLoading()
{
  mPhase = Phase::Loading;
  mLoaded.clear();
  mLoadedAt.reset();
  mAfter.clear();
}

StoreMirror::Changes
StoreFollower::OnPage(const StorePage& aPage, Instant aNow)
{
  OnAnswer(aNow);
  mNextCall = aNow;
  ++mPages;
  if (mPhase == Phase::Watching) {
    // A peer's copy came first.
    return {};
  }
  mLoaded.insert(mLoaded.end(), aPage.mItems.begin(), aPage.mItems.end());
  // Pages are no snapshot: what changed after the earliest of them is learnt
  // again from the watch.
  mLoadedAt =
    mLoadedAt.has_value() ? std::min(*mLoadedAt, aPage.mAt) : aPage.mAt;
  if (aPage.mMore && !aPage.mItems.empty()) {
    mAfter = aPage.mItems.back().mKey;
    return {};
  }
  StoreMirror::Changes changes = mMirror.Replace(mLoaded, *mLoadedAt);
  mHasCopy = true;
  BeginLoading();
  mPhase = Phase::Watching;
  mBehindSince.reset();
  return changes;
}

StoreMirror::Changes
StoreFollower::OnChanges(const StoreChanges& aChanges, Instant aNow)
{
  OnAnswer(aNow);
  mNextCall = aChanges.mChanges.empty() ? aNow : aNow + mSettings.mGather;
  return mMirror.Apply(aChanges);
}

void
StoreFollower::OnFailure(StoreFailure aFailure, Instant aNow)
{
  mCallRunning = false;
  mWatchSuspect = false;
  if (aFailure == StoreFailure::HistoryGone) {
    BeginLoading();
    mNextCall = aNow;
    return;
  }
  if (!mFailingSince.has_value()) {
    mFailingSince = aNow;
  }
  mNextCall = aNow + mBackoff.OnFailure();
}

void
StoreFollower::OnProbe(StoreRevision aRevision, Instant aNow)
{
  mProbing = false;
  mLastAnswer = aNow;
  mProbed = std::max(mProbed, aRevision);
  if (mFailingSince.has_value()) {
    mWatchSuspect = *mFailingSince >= mWatchSent;
    mFailingSince.reset();
    mRestoredAt = aNow;
  }
}

void
StoreFollower::OnProbeFailure(Instant aNow)
{
  mProbing = false;
  if (!mFailingSince.has_value()) {
    mFailingSince = aNow;
  }
}

bool
StoreFollower::IsWatching() const
{
  return mCallRunning && mPhase == Phase::Watching &&
         mSource == FollowSource::Store;
}

void
StoreFollower::UpdateBehind(Instant aNow)
{
  if (std::max(mProbed, mPeerRevision) <= mMirror.At()) {
    mBehindSince.reset();
  } else if (!mBehindSince.has_value()) {
    mBehindSince = aNow;
  }
}

std::optional<Instant>
StoreFollower::NextProbe() const
{
  return IsWatching() && !mProbing
           ? std::optional(mLastProbe + mSettings.mProbePause)
           : std::nullopt;
}

std::optional<Instant>
StoreFollower::WatchGivenUp() const
{
  if (!IsWatching() || !mBehindSince.has_value()) {
    return std::nullopt;
  }
  const Instant due =
    std::max(*mBehindSince, mWatchSent) + mSettings.mWatchSlack;
  return mLastReload.has_value()
           ? std::max(due, *mLastReload + mSettings.mReloadPause)
           : due;
}

StoreMirror::Changes
StoreFollower::OnPeerCopy(const std::vector<StoreItem>& aItems,
                          StoreRevision aAt,
                          Instant aNow)
{
  mPeerAsked = false;
  mNextPeer = aNow + mSettings.mPeerPause;
  if (mHasCopy && aAt <= mMirror.At()) {
    return {};
  }
  StoreMirror::Changes changes = mMirror.Replace(aItems, aAt);
  if (!mHasCopy) {
    mHasCopy = true;
    if (mPhase == Phase::Loading) {
      BeginLoading();
      mPhase = Phase::Watching;
    }
  }
  return changes;
}

StoreMirror::Changes
StoreFollower::OnPeerChanges(const StoreChanges& aChanges, Instant aNow)
{
  mPeerAsked = false;
  mNextPeer = aNow + mSettings.mPeerPause;
  return mMirror.Apply(aChanges);
}

void
StoreFollower::SetSource(FollowSource aSource, Instant aNow)
{
  if (aSource == FollowSource::Store && mSource == FollowSource::Peers) {
    mNextCall = aNow;
  }
  mSource = aSource;
}

bool
StoreFollower::MayCallStore(Instant aNow) const
{
  const Duration running = aNow - mStarted.value_or(aNow);
  if (mSource == FollowSource::Peers) {
    return !mHasCopy && running >= mSettings.mPeerPatience;
  }
  return mSource == FollowSource::Store || mPages < mSettings.mFirstPages ||
         mHasCopy || running >= mSettings.mUndecided;
}

void
StoreFollower::OnPeerFailure(Instant aNow)
{
  mPeerAsked = false;
  mNextPeer = aNow + mSettings.mPeerPause;
}

void
StoreFollower::OnPeerRevision(StoreRevision aRevision)
{
  mPeerRevision = std::max(mPeerRevision, aRevision);
}

std::vector<FollowerCall>
StoreFollower::Due(Instant aNow)
{
  std::vector<FollowerCall> calls;
  if (!mStarted.has_value()) {
    mStarted = aNow;
  }
  UpdateBehind(aNow);
  const std::optional<Instant> givenUp = WatchGivenUp();
  if (givenUp.has_value() && *givenUp <= aNow) {
    // Another watch might hear as little; reading tells the present state.
    BeginLoading();
    mLastReload = aNow;
    mCallRunning = false;
    mNextCall = aNow;
  } else if (mWatchSuspect && IsWatching()) {
    mCallRunning = false;
    mNextCall = aNow;
  }
  mWatchSuspect = false;
  if (!mCallRunning && aNow >= mNextCall && MayCallStore(aNow)) {
    mCallRunning = true;
    mLastProbe = aNow;
    if (mPhase == Phase::Loading) {
      calls.emplace_back(ReadPageAction{ mAfter });
    } else {
      mWatchSent = aNow;
      calls.emplace_back(WatchAction{ mMirror.At(), mSettings.mWatchWait });
    }
  }
  const std::optional<Instant> probe = NextProbe();
  if (probe.has_value() && *probe <= aNow) {
    mProbing = true;
    mLastProbe = aNow;
    calls.emplace_back(ProbeAction());
  }
  if (MayAskPeer() && aNow >= mNextPeer) {
    mPeerAsked = true;
    calls.emplace_back(AskPeerAction{ mMirror.At() });
  }
  return calls;
}

bool
StoreFollower::MayAskPeer() const
{
  const bool peerKnowsMore = mPeerRevision > mMirror.At() || !mHasCopy;
  const bool asksPeers =
    mFailingSince.has_value() || mSource == FollowSource::Peers;
  return asksPeers && peerKnowsMore && !mPeerAsked;
}

std::optional<Instant>
StoreFollower::NextDue(Instant aNow) const
{
  std::optional<Instant> next;
  if (!mCallRunning && MayCallStore(aNow)) {
    next = mNextCall;
  }
  for (const std::optional<Instant>& due : { NextProbe(), WatchGivenUp() }) {
    if (due.has_value()) {
      next = std::min(next.value_or(*due), *due);
    }
  }
  if (MayAskPeer()) {
    next = std::min(next.value_or(mNextPeer), mNextPeer);
  }
  return next;
}

} // namespace verbenachute
