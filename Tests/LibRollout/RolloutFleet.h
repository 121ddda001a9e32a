#pragma once

#include <LibRollout/RolloutMachine.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <vector>

namespace verbenachute {

/// Nodes, a store and targets of two versions, on a simulated clock.
class RolloutFleet
{
public:
  struct Response
  {
    bool mIsFailed = false;
    Duration mLatency{ 0 };
  };
  /// Behavior of the new version by time since the order and route.
  using Version = std::function<Response(Duration, std::size_t, double)>;

  struct Options
  {
    std::size_t mNodes = 66;
    double mRate = 40;
    std::size_t mRoutes = 1;
    double mLoss = 0;
    bool mRepeats = false;
    std::uint64_t mSeed = 1;
  };

  RolloutFleet(const Options& aOptions, Version aNew);

  /// Runs until the time since the order.
  void RunUntil(Duration aElapsed);
  void SetStoreDown(bool aIsDown) { mIsStoreDown = aIsDown; }
  /// Writes take effect after this time, and their responses are lost.
  void SetLateWrites(Duration aDelay) { mWriteDelay = aDelay; }
  /// All nodes that do not coordinate believe that they do.
  void SplitViews();
  void Kill(const NodeName& aNode);
  void Restart(const NodeName& aNode);
  [[nodiscard]] NodeName Coordinator() const;

  [[nodiscard]] RolloutPhase StoredPhase() const { return mRecord.mPhase; }
  [[nodiscard]] bool IsWithinExposure() const;
  /// Requests sent to the new version later than the rule allows after its 50th
  /// bad response.
  [[nodiscard]] std::size_t SentAfterRollback() const;
  /// Requests that ran at old targets when Done was written.
  [[nodiscard]] std::size_t CutRequests() const { return mCut; }

private:
  struct Node
  {
    std::unique_ptr<RolloutMachine> mMachine;
    std::uint64_t mRunningOld = 0;
    std::uint64_t mIncarnation = 1;
  };

  void Start(const NodeName& aName, std::optional<Instant> aStart);
  void After(Duration aDelay, std::function<void()> aEvent);
  void UpdateServing();
  void Tick(const NodeName& aName);
  void Write(const NodeName& aName, const RolloutWrite& aWrite);
  void Apply(const RolloutWrite& aWrite);
  void SendRequest();
  [[nodiscard]] Duration Elapsed() const { return mNow - mStart; }
  [[nodiscard]] UnixMilliseconds Wall() const;

  Options mOptions;
  Version mNew;
  std::mt19937_64 mRandom;
  Instant mStart;
  Instant mNow;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::map<NodeName, Node> mNodes;
  bool mHasSplitViews = false;
  bool mIsStoreDown = false;
  Duration mWriteDelay{ 0 };
  RolloutRecord mRecord;
  StoreRevision mRevision;
  std::uint64_t mSent = 0;
  std::uint64_t mSentNewUntilDeadline = 0;
  std::size_t mBad = 0;
  std::optional<Instant> mFiftiethBad;
  std::vector<Instant> mNewTimes;
  std::uint64_t mRunningOld = 0;
  std::size_t mCut = 0;
};

} // namespace verbenachute
