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

/// Simulates several nodes, each in a failure domain of its own that holds
/// targets of some of the shards, on a virtual clock. Targets answer, decline,
/// lose connections and stay silent; links between nodes are slow, break and go
/// silent; nodes freeze; callers disconnect. The invariants over both nodes of
/// a delegation are checked at the targets and at the callers.
class GatherSimulation
{
public:
  explicit GatherSimulation(std::uint32_t aSeed);

  /// Submits the given number of requests and runs until all have ended.
  void Run(std::size_t aRequests);

  /// Counts of the run, so that a test can check that the cases occurred.
  std::size_t mDelegations = 0;
  std::size_t mComplete = 0;
  std::size_t mPartial = 0;
  std::size_t mOtherOutcomes = 0;
  std::size_t mSends = 0;
  /// Sends of a request to a target to which it had been sent before.
  std::size_t mRepeatedSends = 0;

private:
  static constexpr std::size_t kNodes = 4;
  static constexpr std::size_t kShards = 8;
  static constexpr std::size_t kMaximumRecords = 3;

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
    /// Delegations of other nodes: the delegating node and its number.
    std::map<RequestNumber, std::pair<std::size_t, DelegationNumber>>
      mReceivedDelegations;
    /// Delegations to other nodes: the peer, and the request number at the peer
    /// once the delegation has arrived.
    std::map<DelegationNumber,
             std::pair<std::size_t, std::optional<RequestNumber>>>
      mSentDelegations;
    /// Request ids of the callers that wait for an answer.
    std::map<RequestNumber, std::string> mCallers;
  };

  void Schedule(Duration aDelay, Task aTask);
  /// Runs the task after the delay, or when the node is no longer frozen.
  void ScheduleAtNode(std::size_t aNode, Duration aDelay, Task aTask);
  void RunUntil(Instant aEnd);
  void WakeAll();
  void Submit();
  void Take(std::size_t aNode, const ForwardActions& aActions);
  void OnSend(std::size_t aNode, const SendAction& aSend);
  void OnDelegate(std::size_t aNode, const DelegateAction& aDelegate);
  void OnCancelDelegation(std::size_t aNode,
                          const CancelDelegationAction& aCancellation);
  void OnReport(std::size_t aNode, const ReportAction& aReport);
  void OnAnswer(std::size_t aNode, const AnswerAction& aAnswer);
  /// Breaks all links on which the node has sent delegations.
  void BreakLinks(std::size_t aNode);
  /// A random duration between both bounds, in milliseconds.
  [[nodiscard]] Duration RandomDuration(int aLeast, int aMost);
  [[nodiscard]] bool Chance(unsigned aPercent);
  /// The answer of a target, derived from its signature.
  [[nodiscard]] static std::string BodyOf(const std::string& aSignature);

  std::mt19937 mRandom;
  std::vector<Node> mNodes;
  Instant mNow{ seconds(1000) };
  std::multimap<Instant, Task> mTasks;
  std::uint64_t mNextRequest = 1;
  /// Targets to which a request was sent, by request id and shard.
  std::map<std::pair<std::string, std::string>, std::vector<std::string>>
    mTargetsAsked;
  /// Ids of the requests whose callers disconnected.
  std::set<std::string> mDisconnected;
  std::set<std::string> mAnswered;
};

} // namespace verbenachute
