#pragma once

#include <LibForward/ForwardEngine.h>

#include <array>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace verbenachute {

/// A closed model of nodes, targets with slots and queues, and callers that
/// honor Retry-After, on a virtual clock.
class LoadFleet
{
public:
  struct Kind
  {
    std::string mName;
    /// Queries per second at an offered load of 1.
    double mRate = 0;
    Duration mWork{ 0 };
    Duration mObjective{ 0 };
    Duration mDeadline{ 0 };
    std::uint32_t mPriority = 0;
    double mCoverage = 1;
  };

  /// Fates of the queries of one kind that were offered after the warm-up.
  struct Counts
  {
    std::size_t mOffered = 0;
    std::size_t mGood = 0;
    std::size_t mLate = 0;
    std::size_t mFailed = 0;
    std::size_t mRefused = 0;

    [[nodiscard]] double GoodShare() const
    {
      return static_cast<double>(mGood) /
             static_cast<double>(std::max<std::size_t>(mOffered, 1));
    }
  };

  LoadFleet(LoadAdmissionMode aMode,
            std::vector<Kind> aKinds,
            std::uint32_t aSeed);

  /// Makes a third of the targets slower by the factor, from aFrom to aTo.
  void SlowTargets(double aFactor, Duration aFrom, Duration aTo);
  /// Runs for the time with aLoad times the rates of the kinds; a kind has
  /// twice its mRate with a factor of 2.
  void Run(double aLoad,
           Duration aTime,
           const std::vector<double>& aFactors = { 1, 1 });

  [[nodiscard]] const Counts& Of(std::size_t aKind) const
  {
    return mCounts[aKind];
  }
  [[nodiscard]] std::size_t Good() const;
  /// Refusals, and those later than a quarter of the objective.
  std::size_t mRefusals = 0;
  std::size_t mLateRefusals = 0;
  std::size_t mSends = 0;
  /// Targets of all sends, in order.
  std::vector<TargetName> mSentTo;

private:
  static constexpr std::size_t kNodes = 9;
  static constexpr std::size_t kDomains = 3;
  static constexpr std::size_t kShards = 20;
  static constexpr std::size_t kSlots = 2;
  static constexpr std::size_t kQueue = 12;

  using Task = std::function<void()>;

  struct Job
  {
    std::size_t mNode = 0;
    AttemptId mAttempt;
    Duration mWork{ 0 };
  };

  struct Target
  {
    std::deque<Job> mQueue;
    std::size_t mRunning = 0;
    bool mIsPaused = false;
    double mSlowdown = 1;
  };

  struct Query
  {
    std::size_t mKind = 0;
    Instant mStart;
    bool mIsCounted = false;
  };

  struct Node
  {
    std::unique_ptr<ForwardEngine> mEngine;
    std::map<RequestNumber, std::pair<Query, Instant>> mQueries;
  };

  void Schedule(Duration aDelay, Task aTask);
  void Offer(std::size_t aKind, double aRate, Instant aEnd);
  void Submit(const Query& aQuery);
  void Take(std::size_t aNode, const ForwardActions& aActions);
  void OnSend(std::size_t aNode, const SendAction& aSend);
  void OnAnswer(std::size_t aNode, const AnswerAction& aAnswer);
  void OnRefused(const Query& aQuery, const RefusedOutcome& aRefusal);
  void Cancel(std::size_t aNode, AttemptId aAttempt);
  void Start(Target* aTarget);
  void Pause(Target* aTarget);
  void Reply(const Target& aTarget, const Job& aJob, ReplyKind aKind);

  std::vector<Kind> mKinds;
  std::mt19937 mRandom;
  ServingPlanPointer mPlan;
  std::vector<Node> mNodes;
  std::map<TargetName, Target> mTargets;
  std::vector<Counts> mCounts;
  std::multimap<Instant, Task> mTasks;
  Instant mNow{ seconds(1000) };
  Instant mCountedFrom;
  std::uint64_t mNextNumber = 1;
};

} // namespace verbenachute
