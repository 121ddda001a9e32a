#pragma once

#include <LibConfiguration/BackoffSchedule.h>
#include <LibCore/Time.h>
#include <LibStore/StoreMirror.h>

#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// How a call to the store ended without a result.
enum class StoreFailure
{
  /// No answer, or one that can not be read.
  Unreachable,
  /// The store refuses this node or all of them.
  Refused,
  /// The changes that were asked for are not kept any more.
  HistoryGone,
};

/// Read the keys after this one; empty: from the first.
struct ReadPageAction
{
  std::string mAfter;
};

/// Wait for changes after a revision.
struct WatchAction
{
  StoreRevision mAfter;
  Duration mWait{ 0 };
};

/// Ask the store for its revision while a watch waits, beside it.
struct ProbeAction
{};

/// Ask another node for its copy of the store.
struct AskPeerAction
{
  /// The peer knows all changes up to this revision at least.
  StoreRevision mNewerThan;
};

using FollowerCall =
  std::variant<ReadPageAction, WatchAction, ProbeAction, AskPeerAction>;

/// From whom a follower learns.
enum class FollowSource
{
  /// Not known yet: reads the first pages and then waits for a moment.
  Undecided,
  /// Watches the store.
  Store,
  /// Takes over what other nodes tell, so that the calls to the store do not
  /// grow with the fleet.
  Peers,
};

/// Keeps a mirror up to date: reads everything once, then watches; when the
/// store does not answer, asks other nodes that know more. It does no I/O.
class StoreFollower
{
public:
  struct Settings
  {
    NodeName mSelf;
    /// Longest wait of one watch.
    Duration mWatchWait = seconds(20);
    /// Pause after each change, so that changes in quick succession cost one
    /// call together.
    Duration mGather = milliseconds(500);
    Duration mFirstBackOff = milliseconds(150);
    Duration mLongestBackOff = milliseconds(1200);
    /// Pages that a node reads before it knows its source, and the longest
    /// time that it then waits.
    std::size_t mFirstPages = 4;
    Duration mUndecided = milliseconds(1000);
    /// Longest time without a copy before the store is read after all.
    Duration mPeerPatience = milliseconds(2000);
    /// Pause between two questions to peers.
    Duration mPeerPause = milliseconds(300);
    /// Pause between two probes while a watch waits. A change is due
    /// everywhere within 3 s.
    Duration mProbePause = milliseconds(2500);
    /// Time that a watch has to tell of a revision that a probe or a peer has
    /// seen; a slow store needs about half of it.
    Duration mWatchSlack = milliseconds(800);
    /// Least time between two readings of everything for that reason.
    Duration mReloadPause = seconds(3);
  };

  explicit StoreFollower(Settings aSettings);

  void SetSource(FollowSource aSource, Instant aNow);
  /// Longest wait of the next watches.
  void SetWatchWait(Duration aWait) { mSettings.mWatchWait = aWait; }

  [[nodiscard]] StoreMirror::Changes OnPage(const StorePage& aPage,
                                            Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnChanges(const StoreChanges& aChanges,
                                               Instant aNow);
  void OnFailure(StoreFailure aFailure, Instant aNow);
  /// The store's revision, as a probe has told; it may be of a moment ago.
  void OnProbe(StoreRevision aRevision, Instant aNow);
  void OnProbeFailure(Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnPeerCopy(
    const std::vector<StoreItem>& aItems,
    StoreRevision aAt,
    Instant aNow);
  void OnPeerFailure(Instant aNow);
  /// Changes that a peer gave; they may begin where the mirror ends.
  [[nodiscard]] StoreMirror::Changes OnPeerChanges(const StoreChanges& aChanges,
                                                   Instant aNow);
  /// The latest revision that any living peer says it knows.
  void OnPeerRevision(StoreRevision aRevision);

  /// The calls that are due. Each is answered by one event above. A watch or a
  /// reading that is due while a watch still waits takes its place: the store
  /// has lost that one, and no event may come of it any more.
  [[nodiscard]] std::vector<FollowerCall> Due(Instant aNow);
  /// When Due has to be asked next without any event; nothing if only an event
  /// or the end of a wait can make a call due. Ask Due a few times a second
  /// besides.
  [[nodiscard]] std::optional<Instant> NextDue(Instant aNow) const;

  /// When the store answered last.
  [[nodiscard]] std::optional<Instant> LastAnswer() const
  {
    return mLastAnswer;
  }
  [[nodiscard]] const StoreMirror& Mirror() const { return mMirror; }
  /// Whether a whole copy has been read, from the store or from a peer.
  [[nodiscard]] bool HasCopy() const { return mHasCopy; }
  /// When the store last refused or did not answer; nothing while it answers.
  [[nodiscard]] std::optional<Instant> FailingSince() const
  {
    return mFailingSince;
  }
  /// End of the last outage that this node saw.
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

  void OnAnswer(Instant aNow);
  void BeginLoading();
  [[nodiscard]] bool MayCallStore(Instant aNow) const;
  [[nodiscard]] bool MayAskPeer() const;
  /// When the next probe is due; nothing while none is wanted.
  [[nodiscard]] std::optional<Instant> NextProbe() const;
  /// When the watch that waits is given up because others know more; nothing
  /// while it may be sound.
  [[nodiscard]] std::optional<Instant> WatchGivenUp() const;
  [[nodiscard]] bool IsWatching() const;
  void UpdateBehind(Instant aNow);

  Settings mSettings;
  BackoffSchedule mBackoff;
  StoreMirror mMirror;
  Phase mPhase = Phase::Loading;
  FollowSource mSource = FollowSource::Undecided;
  std::optional<Instant> mStarted;
  std::size_t mPages = 0;
  std::optional<Instant> mLastAnswer;
  bool mHasCopy = false;
  bool mCallRunning = false;
  Instant mWatchSent;
  bool mProbing = false;
  Instant mLastProbe;
  /// The waiting watch is older than an outage that a probe has seen.
  bool mWatchSuspect = false;
  StoreRevision mProbed;
  /// Since when others have known of changes that the mirror lacks.
  std::optional<Instant> mBehindSince;
  std::optional<Instant> mLastReload;
  bool mPeerAsked = false;
  Instant mNextCall;
  Instant mNextPeer;
  std::vector<StoreItem> mLoaded;
  std::optional<StoreRevision> mLoadedAt;
  std::string mAfter;
  StoreRevision mPeerRevision;
  std::optional<Instant> mFailingSince;
  std::optional<Instant> mRestoredAt;
};

} // namespace verbenachute
