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

/// Ask another node for its copy of the store.
struct AskPeerAction
{
  /// The peer knows all changes up to this revision at least.
  StoreRevision mNewerThan;
};

using FollowerCall = std::variant<ReadPageAction, WatchAction, AskPeerAction>;

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
    Duration mGather = milliseconds(200);
    Duration mFirstBackOff = milliseconds(150);
    Duration mLongestBackOff = milliseconds(1200);
    /// Pause between two questions to peers.
    Duration mPeerPause = milliseconds(300);
  };

  explicit StoreFollower(Settings aSettings);

  [[nodiscard]] StoreMirror::Changes OnPage(const StorePage& aPage,
                                            Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnChanges(const StoreChanges& aChanges,
                                               Instant aNow);
  void OnFailure(StoreFailure aFailure, Instant aNow);
  [[nodiscard]] StoreMirror::Changes OnPeerCopy(
    const std::vector<StoreItem>& aItems,
    StoreRevision aAt,
    Instant aNow);
  void OnPeerFailure(Instant aNow);
  /// The latest revision that any living peer says it knows.
  void OnPeerRevision(StoreRevision aRevision);

  /// The calls that are due. Each is answered by one event above.
  [[nodiscard]] std::vector<FollowerCall> Due(Instant aNow);
  /// When Due has to be asked next without any event; nothing if only an event
  /// can make a call due.
  [[nodiscard]] std::optional<Instant> NextDue() const;

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

  Settings mSettings;
  BackoffSchedule mBackoff;
  StoreMirror mMirror;
  Phase mPhase = Phase::Loading;
  bool mHasCopy = false;
  bool mCallRunning = false;
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
