#include <LibStore/StoreFollower.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

StoreFollower::StoreFollower(Settings aSettings)
  : mSettings(std::move(aSettings))
  , mBackoff(mSettings.mSelf,
             mSettings.mInitialBackoff,
             mSettings.mMaximumBackoff)
  , mReadTimeout(mSettings.mFirstReadTimeout)
{
}

void
StoreFollower::OnStoreResponse(Instant aNow)
{
  mCallPending = false;
  mLastAnswer = aNow;
  mIsConfirmed = true;
  mClosedAt.reset();
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
  mLoadedItems.clear();
  mLoadedRevision.reset();
  mAfter.clear();
}

void
StoreFollower::BeginEra(StoreEra aEra, Instant aNow)
{
  mDiscardPage = mCallPending && mPhase == Phase::Loading && !mAfter.empty();
  if (IsWatching()) {
    mCallPending = false;
  }
  mEra = aEra;
  BeginLoading();
  mLatestProbed.reset();
  mNextCall = aNow;
  // Leases have ended as in an outage, even if no call has failed.
  mRestoredAt = aNow;
}

void
StoreFollower::OnEra(StoreEra aEra, Instant aNow)
{
  if (aEra > mEra) {
    BeginEra(aEra, aNow);
  }
}

StoreMirror::Changes
StoreFollower::OnPage(const StorePage& aPage, Instant aNow)
{
  OnStoreResponse(aNow);
  mNextCall = aNow;
  ++mPagesRead;
  if (aPage.mEra > mEra) {
    // The first page of a reading is the first one of the new era as well.
    const bool isFirst = mPhase == Phase::Loading && mAfter.empty();
    BeginEra(aPage.mEra, aNow);
    if (!isFirst) {
      return {};
    }
  }
  if (std::exchange(mDiscardPage, false)) {
    return {};
  }
  if (aPage.mEra < mEra) {
    // A late response, or one of a replica that is not restored yet.
    mNextCall = aNow + mSettings.mBatchDelay;
    return {};
  }
  if (mPhase == Phase::Watching) {
    // A copy from a peer has arrived before the page.
    return {};
  }
  mLoadedItems.insert(
    mLoadedItems.end(), aPage.mItems.begin(), aPage.mItems.end());
  // The pages are not a snapshot. The watch starts at the revision of the
  // earliest page, so that it reports all changes made since.
  mLoadedRevision = mLoadedRevision.has_value()
                      ? std::min(*mLoadedRevision, aPage.mStoreRevision)
                      : aPage.mStoreRevision;
  if (aPage.mHasMore && !aPage.mItems.empty()) {
    mAfter = aPage.mItems.back().mKey;
    return {};
  }
  StoreMirror::Changes changes =
    mMirror.Replace(mLoadedItems, { mEra, *mLoadedRevision });
  mHasCopy = true;
  BeginLoading();
  mPhase = Phase::Watching;
  mBehindSince.reset();
  UpdateKnownAsOf();
  return changes;
}

StoreMirror::Changes
StoreFollower::OnChanges(const StoreChanges& aChanges, Instant aNow)
{
  if (aChanges.mEra < mEra && mPhase == Phase::Loading) {
    // The watch was abandoned when the era rose.
    return {};
  }
  OnStoreResponse(aNow);
  if (aChanges.mEra > mEra) {
    BeginEra(aChanges.mEra, aNow);
    return {};
  }
  if (aChanges.mEra < mEra) {
    mNextCall = aNow + mSettings.mBatchDelay;
    return {};
  }
  mNextCall = aChanges.mChanges.empty() ? aNow : aNow + mSettings.mBatchDelay;
  StoreMirror::Changes changes = mMirror.Apply(aChanges);
  mKnownAsOf = std::max(mKnownAsOf, mCallStart);
  UpdateKnownAsOf();
  return changes;
}

void
StoreFollower::OnFailure(StoreFailure aFailure, Instant aNow)
{
  mCallPending = false;
  mDiscardPage = false;
  if (aFailure == StoreFailure::HistoryCompacted) {
    BeginLoading();
    mNextCall = aNow;
    return;
  }
  const bool isUnusable = aFailure == StoreFailure::ResponseTooLarge ||
                          aFailure == StoreFailure::ResponseInvalid;
  if (isUnusable && mPhase == Phase::Watching) {
    // The changes since the mirror's revision only become more, whereas the
    // keys are read in pages, each with its latest value alone.
    BeginLoading();
    const Instant earliest =
      mLastReload.has_value() ? *mLastReload + mSettings.mBatchDelay : aNow;
    mNextCall = std::max(aNow, earliest);
    mLastReload = mNextCall;
    return;
  }
  if (EndsWatchOnly(aFailure, aNow)) {
    mIsConfirmed = false;
    mClosedAt = aNow;
    mNextCall = std::max(aNow, mCallStart + mSettings.mBatchDelay);
    return;
  }
  mIsConfirmed = false;
  BeginOutage(aNow);
  // From the start of the call, as a call that timed out was a pause as well.
  mNextCall = std::max(aNow, mCallStart + mBackoff.OnFailure());
  mReadTimeout = std::min(2 * mReadTimeout, mSettings.mReadTimeout);
}

bool
StoreFollower::EndsWatchOnly(StoreFailure aFailure, Instant aNow) const
{
  // An outage that no probe has met yet may end with the close.
  const Duration longestSilence =
    mSettings.mProbeInterval + mSettings.mWatchReportTimeout;
  return aFailure == StoreFailure::ConnectionClosed &&
         mPhase == Phase::Watching && mIsConfirmed &&
         !mFailingSince.has_value() && mLastAnswer.has_value() &&
         aNow - *mLastAnswer <= longestSilence;
}

void
StoreFollower::BeginOutage(Instant aNow)
{
  if (!mFailingSince.has_value()) {
    mFailingSince = mClosedAt.value_or(aNow);
  }
}

void
StoreFollower::OnProbe(StorePosition aPosition, Instant aNow)
{
  mProbePending = false;
  mLastAnswer = aNow;
  OnEra(aPosition.mEra, aNow);
  mProbedPosition = std::max(mProbedPosition, aPosition);
  // A store that lacks the probed key reports no revision.
  const bool hasPosition =
    aPosition.mEra == mEra && aPosition.mRevision != StoreRevision();
  if (mProbeConsistency == ReadConsistency::Latest && hasPosition) {
    mLatestProbed = { aPosition, mProbeStart };
    UpdateKnownAsOf();
  } else if (hasPosition && aPosition < mMirror.Position()) {
    mStaleProbe = mProbeStart;
  }
  mIsWatchLost = mIsWatchSuspect;
  if (mFailingSince.has_value()) {
    mFailingSince.reset();
    mRestoredAt = aNow;
  }
}

void
StoreFollower::UpdateKnownAsOf()
{
  if (mLatestProbed.has_value() && mLatestProbed->first <= mMirror.Position()) {
    mKnownAsOf = std::max(mKnownAsOf, mLatestProbed->second);
    mLatestProbed.reset();
  }
}

void
StoreFollower::OnProbeFailure(Instant aNow)
{
  mProbePending = false;
  mIsConfirmed = false;
  mIsWatchSuspect = IsWatching();
  mStaleProbe.reset();
  BeginOutage(aNow);
}

bool
StoreFollower::IsWatching() const
{
  return mCallPending && mPhase == Phase::Watching &&
         mSource == UpdateSource::Store;
}

void
StoreFollower::UpdateBehind(Instant aNow)
{
  if (std::max(mProbedPosition, mPeerPosition) <= mMirror.Position()) {
    mBehindSince.reset();
  } else if (!mBehindSince.has_value()) {
    mBehindSince = aNow;
  }
}

std::optional<Instant>
StoreFollower::NextProbe() const
{
  return IsWatching() && !mProbePending
           ? std::optional(mLastProbe + mSettings.mProbeInterval)
           : std::nullopt;
}

std::optional<Instant>
StoreFollower::NextLatestProbe() const
{
  const bool mayProbe = mPhase == Phase::Watching &&
                        mSource == UpdateSource::Store && !mProbePending &&
                        !mLatestProbed.has_value();
  // An empty time is less than any other.
  const std::optional<Instant> wanted = std::max(mWantedAsOf, mStaleProbe);
  if (!mayProbe || !wanted.has_value() || mKnownAsOf >= *wanted) {
    return std::nullopt;
  }
  return std::max(*wanted, mProbeStart + mSettings.mLatestProbeInterval);
}

std::optional<Instant>
StoreFollower::WatchDeadline() const
{
  if (!IsWatching() || !mBehindSince.has_value()) {
    return std::nullopt;
  }
  const Instant due =
    std::max(*mBehindSince, mCallStart) + mSettings.mWatchReportTimeout;
  return mLastReload.has_value()
           ? std::max(due, *mLastReload + mSettings.mReloadInterval)
           : due;
}

StoreMirror::Changes
StoreFollower::OnPeerCopy(const std::vector<StoreItem>& aItems,
                          StorePosition aPosition,
                          Instant aNow)
{
  mPeerCallPending = false;
  mNextPeerCall = aNow + mSettings.mPeerInterval;
  if (aPosition.mEra < mEra || (mHasCopy && aPosition <= mMirror.Position())) {
    return {};
  }
  OnEra(aPosition.mEra, aNow);
  const bool raisesEra = aPosition.mEra > mMirror.Position().mEra;
  StoreMirror::Changes changes = mMirror.Replace(aItems, aPosition);
  if (!mHasCopy || raisesEra) {
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
  mPeerCallPending = false;
  mNextPeerCall = aNow + mSettings.mPeerInterval;
  return mMirror.Apply(aChanges);
}

void
StoreFollower::SetSource(UpdateSource aSource, Instant aNow)
{
  if (aSource == UpdateSource::Store && mSource == UpdateSource::Peers) {
    mNextCall = aNow;
  }
  mSource = aSource;
}

bool
StoreFollower::MayCallStore(Instant aNow) const
{
  const Duration uptime = aNow - mStartTime.value_or(aNow);
  if (mSource == UpdateSource::Peers) {
    return !mHasCopy && uptime >= mSettings.mFirstCopyTimeout;
  }
  return mSource == UpdateSource::Store || mPagesRead < mSettings.mFirstPages ||
         mHasCopy || uptime >= mSettings.mUndecidedTimeout;
}

void
StoreFollower::OnPeerFailure(Instant aNow)
{
  mPeerCallPending = false;
  mNextPeerCall = aNow + mSettings.mPeerInterval;
}

void
StoreFollower::OnPeerPosition(StorePosition aPosition)
{
  mPeerPosition = std::max(mPeerPosition, aPosition);
}

std::vector<FollowerCall>
StoreFollower::TakeDueCalls(Instant aNow)
{
  std::vector<FollowerCall> calls;
  if (!mStartTime.has_value()) {
    mStartTime = aNow;
  }
  UpdateBehind(aNow);
  const std::optional<Instant> watchDeadline = WatchDeadline();
  if (watchDeadline.has_value() && *watchDeadline <= aNow) {
    // Another watch might be lost as well, whereas a read returns the current
    // state.
    BeginLoading();
    mLastReload = aNow;
    mCallPending = false;
    mNextCall = aNow;
  } else if (mIsWatchLost && IsWatching()) {
    mCallPending = false;
    mNextCall = aNow;
  }
  mIsWatchLost = false;
  if (!mCallPending && aNow >= mNextCall && MayCallStore(aNow)) {
    mCallPending = true;
    mCallStart = aNow;
    mIsWatchSuspect = false;
    mLastProbe = aNow;
    if (mPhase == Phase::Loading) {
      calls.emplace_back(ReadPageAction{
        mAfter, mHasCopy ? mSettings.mReadTimeout : mReadTimeout });
    } else {
      calls.emplace_back(NextWatch());
    }
  }
  const std::optional<Instant> latestProbe = NextLatestProbe();
  const std::optional<Instant> probe = NextProbe();
  const bool isLatestDue = latestProbe.has_value() && *latestProbe <= aNow;
  if (isLatestDue || (probe.has_value() && *probe <= aNow)) {
    mProbePending = true;
    mLastProbe = aNow;
    mProbeStart = aNow;
    mProbeConsistency =
      isLatestDue ? ReadConsistency::Latest : ReadConsistency::MayBeStale;
    calls.emplace_back(ProbeAction{ mProbeConsistency });
  }
  if (MayFetchFromPeer() && aNow >= mNextPeerCall) {
    mPeerCallPending = true;
    calls.emplace_back(FetchFromPeerAction{ mMirror.Position() });
  }
  return calls;
}

WatchAction
StoreFollower::NextWatch() const
{
  const Duration wait = mSettings.mWatchTimeout;
  if (mIsConfirmed) {
    return { mMirror.CurrentRevision(), wait, wait + mSettings.mWatchGrace };
  }
  return { mMirror.CurrentRevision(),
           std::min(wait, mSettings.mConfirmingWait),
           mSettings.mConfirmingTimeout };
}

bool
StoreFollower::MayFetchFromPeer() const
{
  const bool peerHasNewer = mPeerPosition > mMirror.Position() || !mHasCopy;
  const bool usesPeers =
    mFailingSince.has_value() || mSource == UpdateSource::Peers;
  return usesPeers && peerHasNewer && !mPeerCallPending;
}

std::optional<Instant>
StoreFollower::NextDueTime(Instant aNow) const
{
  std::optional<Instant> next;
  if (!mCallPending && MayCallStore(aNow)) {
    next = mNextCall;
  }
  for (const std::optional<Instant>& due :
       { NextProbe(), NextLatestProbe(), WatchDeadline() }) {
    if (due.has_value()) {
      next = std::min(next.value_or(*due), *due);
    }
  }
  if (MayFetchFromPeer()) {
    next = std::min(next.value_or(mNextPeerCall), mNextPeerCall);
  }
  return next;
}

} // namespace verbenachute
