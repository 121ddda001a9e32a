#pragma once

#include <LibEntry/RemovalDelay.h>
#include <LibStore/StoreFollower.h>

#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Nodes that follow a store, on a clock of their own and without a network.
/// The store is unavailable, loses answers, forgets its history and cuts
/// watches as it is told; nodes tell each other which position they know.
class StoreSimulation
{
public:
  enum class Availability
  {
    Answers,
    /// Calls, and watches that were waiting before, get no answer.
    Silent,
    /// Calls are refused by a response; watches go on.
    Refuses,
    /// Connections are closed.
    Resets,
  };

  StoreSimulation(std::size_t aNodes, std::uint32_t aSeed);

  void SetAvailability(Availability aAvailability);
  /// Closes the connections of the watches that wait.
  void CutWatches();
  /// Changes up to now can not be watched any more.
  void DropHistory() { mHistorySince = mRevision; }
  /// Writes a configuration, which has to reach the nodes within kApplyTime.
  void WriteConfiguration();
  /// Writes the entry of a target that runs.
  void Register(const std::string& aTarget);
  /// The target has left for good.
  void Remove(const std::string& aTarget);
  /// The entry of a target that runs is gone until it registers again.
  void Lapse(const std::string& aTarget);
  void Pass(Duration aTime);

  [[nodiscard]] Instant Now() const { return mNow; }
  /// The targets that run.
  [[nodiscard]] const std::set<std::string>& Running() const
  {
    return mRunning;
  }
  /// Configurations and removals that took effect too late, and targets that
  /// were removed though they run.
  [[nodiscard]] const std::vector<std::string>& Faults() const
  {
    return mFaults;
  }
  /// Number of calls to the store by all nodes.
  [[nodiscard]] std::size_t Calls() const { return mCalls; }

  /// Time after a disturbance of the store after which bounds hold.
  static constexpr Duration kContactTime = milliseconds(4000);
  static constexpr Duration kApplyTime = milliseconds(3000);
  static constexpr Duration kDrainTime = milliseconds(3000);

  /// Percentage of answers that are lost.
  unsigned mLossPercent = 0;
  /// Age of reads that may be stale.
  Duration mReadAge{ 0 };

private:
  struct PendingCall
  {
    FollowerCall mAction;
    Instant mSent;
    Instant mDeadline;
    /// Nothing more comes on its connection.
    bool mIsLost = false;
    bool mIsClosed = false;
    bool mIsRefused = false;
  };

  struct Node
  {
    explicit Node(const StoreFollower::Settings& aSettings)
      : mFollower(aSettings)
    {
    }

    StoreFollower mFollower;
    RemovalDelay mRemovalDelay;
    std::optional<PendingCall> mCall;
    std::optional<PendingCall> mProbe;
    /// Targets to which the node may send requests.
    std::set<std::string> mTargets;
    /// The position that its peers have been told.
    StorePosition mAnnounced;
    std::optional<Instant> mNextAnnouncement;
  };

  void Write(const std::string& aKey, std::optional<std::string> aValue);
  void Tick();
  void Advance(Node* aNode);
  void Announce(Node* aNode);
  void Send(Node* aNode, const FollowerCall& aAction);
  void FetchFromPeer(Node* aNode);
  /// Whether the call is over, so that it is no longer pending.
  [[nodiscard]] bool Answer(Node* aNode, PendingCall* aCall);
  void AnswerProbe(Node* aNode, const ProbeAction& aProbe);
  void AnswerWatch(Node* aNode, const WatchAction& aWatch);
  void AnswerRead(Node* aNode);
  void Fail(Node* aNode, const PendingCall& aCall, StoreFailure aFailure);
  void Apply(Node* aNode, const StoreMirror::Changes& aChanges);
  void Unlist(Node* aNode, const std::string& aTarget);
  [[nodiscard]] bool IsDisturbed() const;
  /// Whether the store has been calm for kContactTime.
  [[nodiscard]] bool IsInTouch() const;
  [[nodiscard]] StoreRevision RevisionAt(Instant aTime) const;
  void CheckPromises();
  void CheckConfigurations();
  void CheckRemovals();
  void NoteFault(const std::string& aText);

  std::mt19937 mRandom;
  std::vector<Node> mNodes;
  Instant mNow{ seconds(100) };
  Availability mAvailability = Availability::Answers;
  Instant mLastDisturbance;
  StoreRevision mRevision{ 100 };
  StoreRevision mHistorySince{ 100 };
  std::map<std::string, StoreItem> mItems;
  std::vector<StoreChange> mHistory;
  std::map<Instant, StoreRevision> mRevisions;
  std::set<std::string> mRunning;
  /// When changes were acknowledged that some node may still lack.
  std::map<StoreRevision, Instant> mConfigurations;
  std::map<std::string, Instant> mRemovals;
  std::vector<std::string> mFaults;
  std::size_t mCalls = 0;
};

} // namespace verbenachute
