#pragma once

#include "FakeConfiguration.h"

#include <LibQuery/QueryEngine.h>

#include <pcg_random.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

enum class Tracing
{
  Off,
  On,
};

/// One seeded schedule of queries and faults against one query engine. Targets
/// and holders are a few lines each; what they ran is the truth that the
/// engine's answers are checked against.
class QuerySimulation
{
public:
  QuerySimulation(std::uint64_t aSeed, std::size_t aQueries, Tracing aTracing);

  /// Runs to the end and gives every broken promise, with its time.
  [[nodiscard]] const std::vector<std::string>& Run();

  [[nodiscard]] const QueryCounters& Counters() const
  {
    return mEngine.Counters();
  }
  /// Queries that ended with all shards, some shards and a refusal.
  std::size_t mWhole = 0;
  std::size_t mPartial = 0;
  std::size_t mRefused = 0;
  std::vector<std::string> mTrace;

private:
  struct Target
  {
    std::set<std::uint64_t> mVersions;
    Instant mDownUntil;
  };

  /// What is known of one query outside of the engine.
  struct Query
  {
    QueryRequest mRequest;
    Instant mDeadline;
    bool mIsPoison = false;
    std::size_t mCompletions = 0;
    bool mIsSaidNotRun = false;
    std::size_t mExecutions = 0;
    std::size_t mSends = 0;
    /// Sends before the first crash was known; none while it is not.
    std::size_t mSendsBeforeCrash = 0;
    bool mHasCrashed = false;
    std::set<std::string> mCrashedTargets;
    std::map<ShardId, std::size_t> mExecutionsOf;
    /// Attempts of a shard that were not answered with "not run".
    std::map<ShardId, std::set<AttemptId>> mMayRun;
  };

  /// Chances of the faults in this schedule, in thousandths.
  struct Weather
  {
    std::uint32_t mLostRequest, mLostReply, mDuplicate, mCrossed, mStraggler,
      mWrongVersion, mRefusal, mCrash, mFailure, mCallerDisconnected, mPoison;
  };

  void Schedule(Duration aDelay, std::function<void()> aEvent);
  [[nodiscard]] bool Chance(std::uint32_t aThousandths);
  [[nodiscard]] Duration Between(Duration aLeast, Duration aMost);
  [[nodiscard]] std::uint32_t ShardCountOf(std::uint64_t aVersion) const;
  [[nodiscard]] std::vector<ShardId> ShardsOf(std::size_t aTarget,
                                              std::uint64_t aVersion) const;

  void Publish();
  void Report(std::size_t aTarget);
  void Submit(std::size_t aLeft);
  void Carry(QueryActions aActions);
  void OnSend(const SubQuery& aQuery);
  void Arrive(const SubQuery& aQuery);
  void RunAtTarget(const SubQuery& aQuery, Target& aTarget);
  [[nodiscard]] SubAnswer Crossed(SubAnswer aAnswer, const SubQuery& aQuery);
  void Crash(const SubQuery& aQuery, Target& aTarget);
  [[nodiscard]] static SubAnswer Result(const SubQuery& aQuery,
                                        const Query& aTruth);
  void Refuse(const SubQuery& aQuery, ErrorCode aCode, Execution aExecution);
  void Reply(SubAnswer aAnswer, Duration aDelay);
  void OnComplete(const CompleteQuery& aComplete);
  void CheckAnswer(const Query& aQuery, const QueryAnswer& aAnswer);
  void CheckBudget(const SubQuery& aQuery);
  void CheckEnd();
  void Broken(const std::string& aWhat);
  void Trace(const std::string& aWhat);

  pcg32 mRandom;
  Tracing mTracing;
  std::size_t mQueryCount;
  bool mHasClassLimits;
  Weather mWeather;
  Instant mNow{ seconds(1000) };
  std::shared_ptr<FakeConfiguration> mConfiguration;
  QueryEngine mEngine;
  std::multimap<Instant, std::function<void()>> mEvents;
  std::vector<Target> mTargets;
  std::map<std::uint64_t, std::uint32_t> mShardCounts;
  std::uint64_t mNewest = 1;
  std::map<QueryId, Query> mQueries;
  std::set<AttemptId> mCancelled;
  std::vector<SubQuery> mRecent;
  /// First and extra attempts of each budget.
  std::map<CallerClass, std::pair<std::size_t, std::size_t>> mLoad;
  std::vector<std::string> mBroken;
};

} // namespace verbenachute
