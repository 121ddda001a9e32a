#pragma once

#include "FakeStore.h"
#include "TestConfigurations.h"

#include <LibConfiguration/ConfigurationFollower.h>
#include <LibConfiguration/ConfigurationWriter.h>
#include <LibConfiguration/InForceTracker.h>

#include <functional>
#include <map>
#include <queue>
#include <set>
#include <vector>

namespace verbenachute {

/// The steps of a configuration change that faults are put at.
enum class ChangeStep
{
  ReadHead,
  ReadPart,
  WritePart,
  SwapHead,
  Watch,
  PeerRevision,
  PeerHead,
  PeerPart,
};

/// What becomes of one call.
struct Fate
{
  /// The request does not arrive.
  bool mLost = false;
  /// The request takes effect and its reply does not arrive.
  bool mReplyLost = false;
  /// The request arrives twice, and both replies come back; with mReplyLost
  /// only the second one does.
  bool mTwice = false;
  Duration mDelay{ 0 };
};

/// Nodes with followers, trackers and writers over one fake store, under a
/// fake clock. It asserts what must always hold while it runs:
/// - the revision in force on a life of a node only grows, and no life begins
///   below a revision that was said to be in force everywhere before it;
/// - the head in the store never names a part that is not there;
/// - a revision is said to be in force only when every node that is up has it;
/// - a change that was accepted is in the history once, one that failed is
///   not, and no accepted label is lost.
class ConfigurationWorld
{
public:
  using Chooser = std::function<Fate(ChangeStep, std::size_t aNode)>;

  explicit ConfigurationWorld(std::size_t aNodes);

  /// Decides over each call from now on.
  void SetChooser(Chooser aChooser) { mChooser = std::move(aChooser); }
  /// Changes a label through a node; one of its own if aKey is empty.
  void SubmitLabel(std::size_t aNode, const std::string& aKey = "");
  /// Changes the label straight in the store, as an operator who wins a race.
  void RaceLabel();
  void Restart(std::size_t aNode);
  void RunFor(Duration aTime);
  /// Ends all faults, waits, and checks what must hold in the end.
  void Settle();

  [[nodiscard]] Instant Now() const { return mNow; }
  [[nodiscard]] Revision StoreRevision() const;
  [[nodiscard]] std::size_t Accepted() const { return mAccepted.size(); }
  [[nodiscard]] std::size_t Unknown() const { return mUnknown.size(); }
  [[nodiscard]] std::size_t Failed() const { return mFailed.size(); }
  /// Checks that did not hold.
  [[nodiscard]] std::size_t Broken() const { return mBroken; }
  [[nodiscard]] const ConfigurationFollower& FollowerOf(std::size_t aNode) const
  {
    return *mNodes[aNode].mFollower;
  }

private:
  struct Node
  {
    NodeIdentity mIdentity;
    std::unique_ptr<ConfigurationFollower> mFollower;
    std::unique_ptr<InForceTracker> mTracker;
    std::map<std::string, std::unique_ptr<ConfigurationWriter>> mWriters;
    std::set<NodeName> mTold;
    Revision mFloor;
  };

  struct Event
  {
    Instant mAt;
    std::uint64_t mNumber = 0;
    std::function<void()> mRun;

    bool operator<(const Event& aOther) const
    {
      return std::pair(aOther.mAt, aOther.mNumber) < std::pair(mAt, mNumber);
    }
  };

  struct Watcher
  {
    std::uint64_t mAfter = 0;
    std::function<void(const FakeStore::Value&)> mReply;
  };

  void Expect(bool aHolds, std::string_view aWhat);
  void Begin(std::size_t aNode);
  void At(Instant aTime, std::function<void()> aRun);
  /// Carries out a call of a life of a node; aReply runs in that life only.
  void Call(std::size_t aNode,
            ChangeStep aStep,
            const std::function<std::function<void()>()>& aEffect);
  void Perform(std::size_t aNode,
               const ConfigurationFollower::Actions& aActions);
  void Perform(std::size_t aNode, const ReadHead& aAction);
  void Perform(std::size_t aNode, const WatchHead& aAction);
  void Perform(std::size_t aNode, const ReadPart& aAction);
  void Perform(std::size_t aNode, const PutInForce& aAction);
  void Perform(std::size_t, const ReportRefused&) {}
  void PerformWrite(std::size_t aNode,
                    const std::string& aOperation,
                    const ConfigurationWriter::Actions& aActions);
  void Finish(std::size_t aNode,
              const std::string& aOperation,
              const Result<WriteOutcome>& aOutcome);
  void Tick(std::size_t aNode);
  void Gossip(std::size_t aNode);
  void SwapHeadInStore(const std::string& aText,
                       std::uint64_t aExpected,
                       bool* aSwapped);
  void CheckHeadIsComplete();
  void CheckInForce(std::size_t aNode);
  [[nodiscard]] ConfigurationPointer Stored() const;

  Instant mNow;
  std::priority_queue<Event> mEvents;
  std::uint64_t mLastEvent = 0;
  Chooser mChooser;
  FakeStore mStore;
  std::vector<Watcher> mWatchers;
  std::vector<Node> mNodes;
  std::uint64_t mLastIncarnation = 0;
  std::uint64_t mLastOperation = 0;
  /// The label key that each operation sets.
  std::map<std::string, std::string> mKeys;
  std::set<std::string> mAccepted;
  std::set<std::string> mFailed;
  std::set<std::string> mUnknown;
  /// Largest revision that any node said to be in force everywhere.
  Revision mSaidInForce;
  std::size_t mBroken = 0;
};

} // namespace verbenachute
