#include "QuerySimulation.h"

#include <algorithm>

// What a simulation compares with the truth, and how it reports a difference.

namespace verbenachute {

namespace {

constexpr std::size_t kRefillShare = 20;
constexpr std::size_t kInitialBudget = 10;

} // namespace

void
QuerySimulation::OnComplete(const CompleteQuery& aComplete)
{
  // A query that ends within its submission is complete before it is known.
  Schedule(Duration(0), [this, aComplete, at = mNow] {
    Query& query = mQueries.at(aComplete.mQuery);
    Trace("complete " + query.mRequest.mRequest.value());
    query.mCompletions += 1;
    if (query.mCompletions > 1) {
      Broken("a query is answered twice");
    }
    if (at > query.mDeadline) {
      Broken("a query is answered after its deadline");
    }
    if (const QueryAnswer* answer =
          std::get_if<QueryAnswer>(&aComplete.mOutcome)) {
      CheckAnswer(query, *answer);
      return;
    }
    mRefused += 1;
    const QueryRefusal& refusal = std::get<QueryRefusal>(aComplete.mOutcome);
    query.mIsSaidNotRun = refusal.mExecution == Execution::NotRun;
    if (query.mIsSaidNotRun && query.mExecutions > 0) {
      Broken("a query that ran is said not to have run");
    }
    if (refusal.mExecution == Execution::Ran && query.mExecutions == 0) {
      Broken("a query that never ran is said to have run");
    }
  });
}

void
QuerySimulation::CheckAnswer(const Query& aQuery, const QueryAnswer& aAnswer)
{
  const Coverage& coverage = aAnswer.mCoverage;
  (coverage.mMissing.empty() ? mWhole : mPartial) += 1;
  if (coverage.mShardsAsked != ShardCountOf(aAnswer.mSnapshot.value())) {
    Broken("the coverage is not of the snapshot");
  }
  std::set<std::string> expected;
  for (std::uint32_t shard = 0; shard < coverage.mShardsAsked; ++shard) {
    if (std::find(coverage.mMissing.begin(),
                  coverage.mMissing.end(),
                  ShardId(shard)) == coverage.mMissing.end()) {
      expected.insert(aQuery.mRequest.mRequest.value() + "/" +
                      std::to_string(aAnswer.mSnapshot.value()) + "/" +
                      std::to_string(shard));
    }
  }
  std::set<std::string> seen;
  for (const Hit& hit : aAnswer.mHits) {
    seen.insert(hit.mText);
  }
  if (seen != expected || coverage.mShardsAnswered != expected.size()) {
    Broken("the hits are not those of the answered shards of one snapshot");
  }
}

void
QuerySimulation::CheckBudget(const SubQuery& aQuery)
{
  // Classes that the settings do not name have one budget together.
  const bool isNamed = mHasClassLimits && aQuery.mClass == CallerClass("field");
  std::pair<std::size_t, std::size_t>& load =
    mLoad[isNamed ? aQuery.mClass : CallerClass("other")];
  (aQuery.mKind == AttemptKind::First ? load.first : load.second) += 1;
  if (load.second > load.first / kRefillShare + kInitialBudget) {
    Broken("a class has more extra attempts than its budget pays");
  }
}

void
QuerySimulation::CheckEnd()
{
  if (mEngine.QueryCount() != 0) {
    Broken("queries are left over");
  }
  for (const auto& [id, query] : mQueries) {
    if (query.mCompletions != 1) {
      Broken("a query was not answered once");
    }
    if (query.mHasCrashed && query.mIsPoison &&
        query.mCrashedTargets.size() > query.mSendsBeforeCrash + 1) {
      Broken("a query of death cost too many targets");
    }
    for (const auto& [shard, executions] : query.mExecutionsOf) {
      if (query.mRequest.mIdempotency == Idempotency::NonIdempotent &&
          executions > 1) {
        Broken("a non-idempotent shard ran twice");
      }
    }
  }
}

void
QuerySimulation::Broken(const std::string& aWhat)
{
  Trace("BROKEN: " + aWhat);
  mBroken.push_back(aWhat);
}

void
QuerySimulation::Trace(const std::string& aWhat)
{
  if (mTracing == Tracing::On) {
    const Duration since = mNow - Instant(seconds(1000));
    mTrace.push_back(std::to_string(since.count()) + " us: " + aWhat);
  }
}

} // namespace verbenachute
