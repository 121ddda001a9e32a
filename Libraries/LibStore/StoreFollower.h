#pragma once

#include <LibConfiguration/BackoffSchedule.h>
#include <LibCore/Time.h>
#include <LibStore/StoreMirror.h>

#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

namespace verbenachute {

/// Reason why a call to the store gave no result.
enum class StoreFailure
{
  /// The store did not respond.
  Unreachable,
  /// The store closed the connection instead of responding, as it may do to a
  /// watch at any time.
  ConnectionClosed,
  /// The response is larger than this node accepts.
  ResponseTooLarge,
  /// The response could not be decoded.
  ResponseInvalid,
  /// The store refused the call, for this node alone or for all nodes.
  Refused,
  /// The store no longer keeps the requested changes.
  HistoryCompacted,
};

/// Read a page of the keys after mAfter; if that is empty, from the first key.
/// The read fails as Unreachable if it is not answered within mTimeout.
struct ReadPageAction
{
  std::string mAfter;
  Duration mTimeout{ 0 };
};

/// Wait up to mWait for changes after a revision. The watch fails as
/// Unreachable if it is not answered within mTimeout.
struct WatchAction
{
  StoreRevision mAfter;
  Duration mWait{ 0 };
  Duration mTimeout{ 0 };
};

enum class ReadConsistency
{
  /// The result may be seconds old, which costs less.
  MayBeStale,
  Latest,
};

/// Request the store's revision.
struct ProbeAction
{
  ReadConsistency mConsistency = ReadConsistency::MayBeStale;
};

/// Request newer changes, or a complete copy, of the store from another node.
struct FetchFromPeerAction
{
  /// The peer has to know a later state than this.
  StorePosition mNewerThan;
};

using FollowerCall =
  std::variant<ReadPageAction, WatchAction, ProbeAction, FetchFromPeerAction>;

/// Source of a follower's updates.
enum class UpdateSource
{
  /// Not decided yet: reads the first pages and then waits for up to
  /// Settings::mUndecidedTimeout.
  Undecided,
  /// Watches the store.
  Store,
  /// Fetches updates from other nodes, so that the number of calls to the store
  /// does not grow with the fleet.
  Peers,
};

/// Keeps a mirror of the store up to date: reads all keys once, then watches
/// for changes. If the response to a watch cannot be used, the same watch would
/// not get a better one, so it reads all keys again. While the store does not
/// respond, it fetches newer changes from other nodes. It does no I/O; the
/// owner executes its calls and reports the results.
class StoreFollower
{
public:
  struct Settings
  {
    NodeName mSelf;
    /// Maximum wait of one watch.
    Duration mWatchTimeout = seconds(20);
    /// Maximum wait of a watch after a failure. The store may have lost the
    /// call, so it has to respond before a longer watch is trusted.
    Duration mConfirmingWait = milliseconds(100);
    /// Time limit of that watch. Together with mMaximumBackoff it bounds the
    /// time in which the end of an outage is noticed.
    Duration mConfirmingTimeout = milliseconds(1300);
    /// Time beyond its maximum wait after which a longer watch counts as lost.
    Duration mWatchGrace = milliseconds(1500);
    /// Pause after each change, so that changes in quick succession need only
    /// one call; also from one watch to the next if the store closes it.
    Duration mBatchDelay = milliseconds(500);
    Duration mReadTimeout = milliseconds(1500);
    /// Time limit of the first read of a node without a copy, which serves
    /// nobody meanwhile. It doubles with each failure, up to mReadTimeout.
    Duration mFirstReadTimeout = milliseconds(300);
    Duration mInitialBackoff = milliseconds(150);
    Duration mMaximumBackoff = milliseconds(900);
    /// Pages that a node reads while its source is undecided, and the maximum
    /// time that it then waits for the decision.
    std::size_t mFirstPages = 4;
    Duration mUndecidedTimeout = milliseconds(1000);
    /// Time without a copy after which a node with the source Peers reads the
    /// store.
    Duration mFirstCopyTimeout = milliseconds(2000);
    /// Minimum time from the response or failure of a peer to the next request.
    Duration mPeerInterval = milliseconds(300);
    /// Interval of the probes while a watch is pending. The store may lose the
    /// watch in any shorter outage, which goes unnoticed.
    Duration mProbeInterval = milliseconds(1200);
    /// Time in which a watch has to report a revision that a probe or a peer
    /// has reported; a slow store needs about half of it.
    Duration mWatchReportTimeout = milliseconds(800);
    /// Minimum time between two probes of the latest revision.
    Duration mLatestProbeInterval = milliseconds(250);
    /// Minimum time between two reloads of all keys for that reason.
    Duration mReloadInterval = seconds(3);
  };

  explicit StoreFollower(Settings aSettings);

  void SetSource(UpdateSource aSource, Instant aNow);
  /// Sets the maximum wait of the next watches.
  void SetWatchTimeout(Duration aTimeout)
  {
    mSettings.mWatchTimeout = aTimeout;
  }

  /// Results of the calls. Those that return changes return the ones that they
  /// made to the mirror.
  [[nodiscard]] StoreMirror::Changes OnPage(const StorePage& aPage,
                                            Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnChanges(const StoreChanges& aChanges,
                                               Instant aNow);
  void OnFailure(StoreFailure aFailure, Instant aNow);
  /// The store's position as reported to a probe; it may be out of date.
  void OnProbe(StorePosition aPosition, Instant aNow);
  void OnProbeFailure(Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnPeerCopy(
    const std::vector<StoreItem>& aItems,
    StorePosition aPosition,
    Instant aNow);
  /// The era that the response to another call of the owner reports, as of a
  /// write.
  void OnEra(StoreEra aEra, Instant aNow);
  void OnPeerFailure(Instant aNow);
  /// Changes from a peer, which begin at the mirror's revision or before it.
  [[nodiscard]] StoreMirror::Changes OnPeerChanges(const StoreChanges& aChanges,
                                                   Instant aNow);
  /// The latest position that a peer reports to know.
  void OnPeerPosition(StorePosition aPosition);

  /// Requests that the mirror be known to contain all changes up to a time,
  /// which is not promised while the store does not respond or peers are the
  /// source. Empty: no such time is requested any more.
  void RequestKnownAsOf(std::optional<Instant> aTime) { mWantedAsOf = aTime; }
  /// The mirror contains all changes that the store had made by this time.
  [[nodiscard]] Instant KnownAsOf() const { return mKnownAsOf; }

  /// Returns the calls that are due and marks them as pending. For each of them
  /// one of the functions above has to be called. A watch or a read that
  /// becomes due while a watch is pending replaces that watch, which the store
  /// has lost; its result must not be reported any more.
  [[nodiscard]] std::vector<FollowerCall> TakeDueCalls(Instant aNow);
  /// When TakeDueCalls has to be called next if no event occurs before; empty
  /// if only an event or the end of a wait can make a call due. The owner calls
  /// TakeDueCalls a few times per second in any case.
  [[nodiscard]] std::optional<Instant> NextDueTime(Instant aNow) const;

  /// Time of the last response of the store; empty if there was none.
  [[nodiscard]] std::optional<Instant> LastResponse() const
  {
    return mLastAnswer;
  }
  [[nodiscard]] const StoreMirror& Mirror() const { return mMirror; }
  /// The highest era that a response of the store or a copy has reported; the
  /// mirror reaches it with the next complete copy.
  [[nodiscard]] StoreEra Era() const { return mEra; }
  /// Whether a complete copy has been read, from the store or from a peer.
  [[nodiscard]] bool HasCopy() const { return mHasCopy; }
  /// Start of the present outage: when the first call failed or was refused;
  /// empty while the store responds. A watch that the store closes counts only
  /// if the next one fails as well.
  [[nodiscard]] std::optional<Instant> FailingSince() const
  {
    return mFailingSince;
  }
  /// End of the last outage that this node noticed; empty if there was none.
  [[nodiscard]] std::optional<Instant> RestoredAt() const
  {
    return mRestoredAt;
  }

private:
  enum class Phase
  {
    Loading,
    Watching,
  };

  void OnStoreResponse(Instant aNow);
  void BeginLoading();
  /// The store has been restored from an older copy: what was read before is
  /// void.
  void BeginEra(StoreEra aEra, Instant aNow);
  [[nodiscard]] bool MayCallStore(Instant aNow) const;
  [[nodiscard]] bool MayFetchFromPeer() const;
  /// When the next probe is due; empty while none is needed.
  [[nodiscard]] std::optional<Instant> NextProbe() const;
  /// The same for a probe of the latest revision.
  [[nodiscard]] std::optional<Instant> NextLatestProbe() const;
  /// Whether the mirror has caught up with the revision of the last probe of
  /// the latest one.
  void UpdateKnownAsOf();
  /// Whether a failure is only the end of a watch, and no outage unless the
  /// next watch fails as well.
  [[nodiscard]] bool EndsWatchOnly(StoreFailure aFailure, Instant aNow) const;
  void BeginOutage(Instant aNow);
  /// When the pending watch counts as lost, since others know newer changes;
  /// empty if they do not.
  [[nodiscard]] std::optional<Instant> WatchDeadline() const;
  [[nodiscard]] bool IsWatching() const;
  void UpdateBehind(Instant aNow);
  [[nodiscard]] WatchAction NextWatch() const;

  Settings mSettings;
  BackoffSchedule mBackoff;
  StoreMirror mMirror;
  Phase mPhase = Phase::Loading;
  UpdateSource mSource = UpdateSource::Undecided;
  std::optional<Instant> mStartTime;
  std::size_t mPagesRead = 0;
  /// Time limit of the next read; see Settings::mFirstReadTimeout.
  Duration mReadTimeout;
  std::optional<Instant> mLastAnswer;
  bool mHasCopy = false;
  bool mCallPending = false;
  /// Start of the last watch or read.
  Instant mCallStart;
  bool mProbePending = false;
  /// Start of the last probe, or of a later call that made it needless.
  Instant mLastProbe;
  Instant mProbeStart;
  ReadConsistency mProbeConsistency = ReadConsistency::MayBeStale;
  std::optional<Instant> mWantedAsOf;
  /// Start of the last probe whose response was older than the mirror, so that
  /// it can not show whether the watch misses changes.
  std::optional<Instant> mStaleProbe;
  Instant mKnownAsOf;
  /// The latest revision at the time of a probe that found newer changes than
  /// the mirror contains; empty if there is none.
  std::optional<std::pair<StorePosition, Instant>> mLatestProbed;
  /// The store has responded to the last watch or read, so that it also
  /// receives the next one.
  bool mIsConfirmed = false;
  /// A probe has failed while the watch was pending, so that the store may have
  /// lost the watch.
  bool mIsWatchSuspect = false;
  /// The store has responded to a probe since then.
  bool mIsWatchLost = false;
  StorePosition mProbedPosition;
  /// Since when others have known changes that the mirror lacks; empty if they
  /// know none.
  std::optional<Instant> mBehindSince;
  std::optional<Instant> mLastReload;
  bool mPeerCallPending = false;
  Instant mNextCall;
  Instant mNextPeerCall;
  std::vector<StoreItem> mLoadedItems;
  std::optional<StoreRevision> mLoadedRevision;
  StoreEra mEra;
  /// The pending read began before the rise of the era, and so continues an
  /// earlier reading.
  bool mDiscardPage = false;
  std::string mAfter;
  StorePosition mPeerPosition;
  /// When the store closed a watch, until it responds again.
  std::optional<Instant> mClosedAt;
  std::optional<Instant> mFailingSince;
  std::optional<Instant> mRestoredAt;
};

} // namespace verbenachute
