#pragma once

#include <LibForward/ForwardEngine.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// Some nodes in as many failure domains, each with targets of some of the
/// shards, on a virtual clock. Targets answer, decline, break off and fall
/// silent; links between nodes are slow, break and go silent; nodes freeze;
/// callers leave. What must hold over both nodes of a delegation is checked
/// where it shows: at the targets and at the callers.
class GatherWorld
{
public:
  explicit GatherWorld(std::uint32_t aSeed);

  /// Plays so many requests of callers and lets all of them end.
  void Play(std::size_t aRequests);

  /// Figures of the run, so that a test can tell that it tested something.
  std::size_t mDelegations = 0;
  std::size_t mWhole = 0;
  std::size_t mPartial = 0;
  std::size_t mOther = 0;
  std::size_t mSends = 0;
  std::size_t mTwiceAtOne = 0;

private:
  static constexpr std::size_t kNodes = 4;
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kGreatest = 3;

  using Task = std::function<void()>;

  struct Asked
  {
    std::size_t mNode = 0;
    RequestNumber mNumber;
  };

  struct Node
  {
    std::unique_ptr<ForwardEngine> mEngine;
    std::uint64_t mNextNumber = 1;
    Instant mFrozenUntil;
    std::set<AttemptId> mOpen;
    /// Orders of other nodes: who asked, under which number.
    std::map<RequestNumber, std::pair<std::size_t, DelegationNumber>> mOrders;
    /// Orders to other nodes: who was asked, and the number there once it has
    /// arrived.
    std::map<DelegationNumber,
             std::pair<std::size_t, std::optional<RequestNumber>>>
      mSent;
    std::map<RequestNumber, std::string> mCallers;
  };

  void After(Duration aDelay, Task aTask);
  /// Runs the task when the node is not frozen.
  void AfterAt(std::size_t aNode, Duration aDelay, Task aTask);
  void RunUntil(Instant aEnd);
  void WakeAll();
  void Submit();
  void Take(std::size_t aNode, const ForwardActions& aActions);
  void OnSend(std::size_t aNode, const SendAction& aSend);
  void OnDelegate(std::size_t aNode, const DelegateAction& aDelegate);
  void OnRecall(std::size_t aNode, const RecallAction& aRecall);
  void OnReport(std::size_t aNode, const ReportAction& aReport);
  void OnAnswer(std::size_t aNode, const AnswerAction& aAnswer);
  void BreakLinks(std::size_t aNode);
  [[nodiscard]] Duration Between(int aLeast, int aMost);
  [[nodiscard]] bool Chance(unsigned aPercent);
  [[nodiscard]] static std::string BodyOf(const std::string& aSignature);

  std::mt19937 mRandom;
  std::vector<Node> mNodes;
  Instant mNow{ seconds(1000) };
  std::multimap<Instant, Task> mTasks;
  std::uint64_t mNextRequest = 1;
  /// Targets at which a request has arrived, by request and shard.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>> mRuns;
  std::set<std::string> mGone;
  std::set<std::string> mAnswered;
};

} // namespace verbenachute
