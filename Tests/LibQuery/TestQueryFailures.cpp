#include "QueryRig.h"

namespace verbenachute {

namespace {

// Answers all sub-queries from aFirst on that are not answered yet.
void
AnswerFrom(QueryRig& aRig, std::size_t aFirst)
{
  for (std::size_t next = aFirst; next < aRig.mSent.size(); ++next) {
    aRig.Deliver(QueryRig::Answer(SubQuery(aRig.mSent[next])));
  }
}

void
CrashAll(QueryRig& aRig, std::size_t aFirst)
{
  for (std::size_t next = aFirst; next < aRig.mSent.size(); ++next) {
    aRig.Deliver(QueryRig::Failure(SubQuery(aRig.mSent[next]),
                                   ErrorCode::Unreachable,
                                   Execution::OutcomeUnknown));
  }
}

} // namespace

TEST_CASE("Faults that come twice at one shard are retried within bounds")
{
  constexpr ErrorCode kCrash = ErrorCode::Unreachable;
  constexpr ErrorCode kBusy = ErrorCode::Overloaded;
  constexpr ErrorCode kGone = ErrorCode::VersionGone;
  constexpr ErrorCode kMoved = ErrorCode::NotHolder;
  struct Row
  {
    std::vector<ErrorCode> mFaults;
    std::size_t mSends;
    std::size_t mAnswered;
  };
  const std::vector<Row> rows = {
    { { kCrash, kCrash }, 2, 0 },
    { { kBusy, kCrash }, 3, 1 },
    { { kCrash, kBusy }, 3, 1 },
    { { kGone, kCrash }, 3, 1 },
    { { kCrash, kGone }, 3, 1 },
    { { kBusy, kBusy, kBusy }, 3, 0 },
    { { kGone, kGone, kGone }, 3, 0 },
    { { ErrorCode::TargetFailed, ErrorCode::Internal }, 3, 1 },
    { { kMoved, kMoved, kMoved, kMoved }, 5, 1 },
    { { kMoved, kMoved, kMoved, kMoved, kMoved, kMoved, kMoved }, 6, 0 },
    { { kMoved, ErrorCode::Poisoned }, 2, 0 },
    { { kBusy, ErrorCode::TooLarge }, 2, 0 },
  };
  for (std::size_t index = 0; index < rows.size(); ++index) {
    CAPTURE(index);
    QueryEngineSettings settings = QueryRig::Settings();
    settings.mHedge.mMode = HedgeMode::None;
    QueryRig rig(settings);
    rig.ReportShards(1, 3);
    rig.Submit(rig.Request());
    for (std::size_t next = 0; next < rig.mSent.size(); ++next) {
      const SubQuery query = rig.mSent[next];
      const std::vector<ErrorCode>& faults = rows[index].mFaults;
      if (next >= faults.size()) {
        rig.Deliver(QueryRig::Answer(query));
        continue;
      }
      const ErrorCode code = faults[next];
      const bool isUnknown = code == kCrash || code == ErrorCode::Internal;
      rig.Deliver(QueryRig::Failure(query,
                                    code,
                                    code == ErrorCode::TargetFailed
                                      ? Execution::Ran
                                    : isUnknown ? Execution::OutcomeUnknown
                                                : Execution::NotRun));
      rig.Advance(milliseconds(41));
    }
    CHECK(rig.mSent.size() == rows[index].mSends);
    REQUIRE(rig.mOutcomes.size() == 1);
    CHECK(std::holds_alternative<QueryAnswer>(rig.mOutcomes[0].second) ==
          (rows[index].mAnswered == 1));
  }
}

TEST_CASE("A query of death costs one target beyond those already sent to")
{
  QueryRig rig;
  rig.ReportShards(8, 3);
  rig.Submit(rig.Request());
  REQUIRE(rig.mSent.size() == 8);
  CrashAll(rig, 0);
  CHECK(rig.mSent.size() == 9);
  CHECK(rig.OnlyRefusal().mExecution == Execution::OutcomeUnknown);

  // Its caller sends it again: one target at a time, and one only.
  for (std::size_t repeat = 0; repeat < 3; ++repeat) {
    QueryRequest request = rig.Request();
    request.mRequest = RequestId("again");
    rig.Submit(request);
    REQUIRE(rig.mSent.size() == 10 + repeat);
    CrashAll(rig, 9 + repeat);
  }
  CHECK(rig.mSent.size() == 12);
  CHECK(rig.mOutcomes.size() == 4);

  // Another query is not held back, and the same one is free in the end.
  QueryRequest innocent = rig.Request();
  innocent.mQuery = "rutting km 3";
  rig.Submit(innocent);
  CHECK(rig.mSent.size() == 20);
  AnswerFrom(rig, 12);
  rig.Advance(seconds(61));
  rig.Submit(rig.Request());
  CHECK(rig.mSent.size() == 28);
}

TEST_CASE("A repeat is suspected while the first run still goes on")
{
  QueryRig rig;
  rig.ReportShards(8, 2);
  rig.Submit(rig.Request());
  rig.Deliver(QueryRig::Failure(
    SubQuery(rig.mSent[3]), ErrorCode::Unreachable, Execution::OutcomeUnknown));
  CHECK(rig.mSent.size() == 9);
  rig.Submit(rig.Request());
  CHECK(rig.mSent.size() == 10);
  CHECK(rig.mEngine.QueryCount() == 2);
}

TEST_CASE("A target that crashed is not asked for another shard")
{
  QueryRig rig;
  const auto report = [&rig](const char* aTarget,
                             std::vector<ShardId> aShards,
                             TargetCondition aCondition) {
    rig.Report(
      aTarget, { { IndexVersion(7), 2, std::move(aShards) } }, aCondition);
  };
  report("a", { ShardId(0), ShardId(1) }, TargetCondition::Ready);
  report("b", { ShardId(0) }, TargetCondition::Warming);
  report("c", { ShardId(1) }, TargetCondition::Ready);
  rig.Submit(rig.Request());
  REQUIRE(rig.mSent.size() == 2);
  REQUIRE(rig.mSent[1].mTarget == TargetName("c"));
  rig.Take(rig.mEngine.OnTargetLost(TargetName("a"), rig.mNow));
  REQUIRE(rig.mSent.size() == 3);
  rig.Deliver(QueryRig::Answer(SubQuery(rig.mSent[2])));
  rig.Deliver(QueryRig::Failure(
    SubQuery(rig.mSent[1]), ErrorCode::Overloaded, Execution::NotRun));
  CHECK(rig.mSent.size() == 3);
  CHECK(rig.OnlyAnswer().mCoverage == Coverage{ 2, 1, { ShardId(1) } });
}

TEST_CASE("Nothing is hedged once a target may have crashed")
{
  QueryRig rig;
  rig.ReportShards(2, 3);
  rig.Submit(rig.Request());
  rig.Take(rig.mEngine.OnTargetLost(rig.mSent[1].mTarget, rig.mNow));
  REQUIRE(rig.mSent.size() == 3);
  rig.Deliver(QueryRig::Answer(SubQuery(rig.mSent[2])));
  rig.Advance(milliseconds(100));
  CHECK(rig.mSent.size() == 3);
}

TEST_CASE("The loss of a node is no crash of the targets that it holds")
{
  QueryRig rig;
  rig.ReportShards(8, 2);
  rig.Submit(rig.Request());
  for (std::size_t next = 0; next < 8; ++next) {
    rig.Deliver(QueryRig::Failure(SubQuery(rig.mSent[next]),
                                  ErrorCode::Unreachable,
                                  Execution::OutcomeUnknown,
                                  Step::Route));
  }
  CHECK(rig.mSent.size() == 16);
}

TEST_CASE("A suspect that does no harm soon runs as any other")
{
  QueryRig rig;
  rig.ReportShards(12, 2);
  rig.Submit(rig.Request());
  CrashAll(rig, 0);
  rig.mOutcomes.clear();
  const std::size_t before = rig.mSent.size();
  rig.Submit(rig.Request());
  CHECK(rig.mSent.size() == before + 1);
  AnswerFrom(rig, before);
  CHECK(rig.OnlyAnswer().mCoverage.mShardsAnswered == 12);
  const std::size_t cleared = rig.mSent.size();
  rig.Submit(rig.Request());
  CHECK(rig.mSent.size() == cleared + 12);
}

TEST_CASE("A target that merely died costs no coverage")
{
  QueryRig rig;
  constexpr std::uint32_t kShards = 4;
  const HeldVersion all{ IndexVersion(7),
                         kShards,
                         { ShardId(0), ShardId(1), ShardId(2), ShardId(3) } };
  rig.Report("a", { all });
  rig.Report("b", { all }, TargetCondition::Warming);
  rig.Submit(rig.Request());
  REQUIRE(rig.mSent.size() == kShards);
  rig.Take(rig.mEngine.OnTargetLost(TargetName("a"), rig.mNow));
  // One cautious attempt at a time, then two, at the target that lives.
  REQUIRE(rig.mSent.size() == kShards + 1);
  rig.Deliver(QueryRig::Answer(SubQuery(rig.mSent.back())));
  CHECK(rig.mSent.size() == kShards + 3);
  AnswerFrom(rig, kShards + 1);
  CHECK(rig.OnlyAnswer().mCoverage.mMissing.empty());
  CHECK(rig.OnlyAnswer().mExtraAttempts == kShards);
}

TEST_CASE("A shard is hedged only where it helps, harms none and is paid")
{
  struct Row
  {
    std::string mWhat;
    HedgeMode mMode = HedgeMode::Fixed;
    std::uint32_t mReplicas = 2;
    std::int64_t mBudget = 10'000;
    Idempotency mIdempotency = Idempotency::Idempotent;
    TargetCondition mSecond = TargetCondition::Ready;
    std::size_t mHedges = 0;
  };
  const Idempotency once = Idempotency::NonIdempotent;
  const TargetCondition warming = TargetCondition::Warming;
  const std::vector<Row> rows = {
    { "hedged", HedgeMode::Fixed, 3, 10'000, {}, {}, 1 },
    { "baseline", HedgeMode::None, 2, 10'000, {}, {}, 0 },
    { "no estimate yet", HedgeMode::Adaptive, 2, 10'000, {}, {}, 0 },
    { "no other replica", HedgeMode::Fixed, 1, 10'000, {}, {}, 0 },
    { "not paid", HedgeMode::Fixed, 2, 0, {}, {}, 0 },
    { "non-idempotent", HedgeMode::Fixed, 2, 10'000, once, {}, 0 },
    { "cold start", HedgeMode::Fixed, 2, 10'000, {}, warming, 0 },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mWhat);
    QueryEngineSettings settings = QueryRig::Settings();
    settings.mHedge.mMode = row.mMode;
    settings.mBudget.mInitial = row.mBudget;
    QueryRig rig(settings);
    rig.ReportShards(1, row.mReplicas);
    if (row.mReplicas > 1) {
      rig.Report("b0", { { IndexVersion(7), 1, { ShardId(0) } } }, row.mSecond);
    }
    rig.Submit(rig.Request(row.mIdempotency));
    rig.Advance(milliseconds(100));
    REQUIRE(rig.mSent.size() == 1 + row.mHedges);
    rig.Deliver(QueryRig::Answer(SubQuery(rig.mSent.back())));
    CHECK(rig.OnlyAnswer().mExtraAttempts == row.mHedges);
    // The loser is cancelled, and its late answer is dropped.
    CHECK(rig.mCancelled.size() == row.mHedges);
    rig.Deliver(QueryRig::Answer(SubQuery(rig.mSent.front())));
    CHECK(rig.mEngine.Counters().mDroppedUnknownQuery == 1);
  }
}

TEST_CASE("Overload takes the budget away from hedges and retries")
{
  QueryEngineSettings settings = QueryRig::Settings();
  settings.mBudget.mInitial = 6000;
  QueryRig rig(settings);
  rig.ReportShards(4, 2);
  rig.Submit(rig.Request());
  // Each overloaded answer drains one attempt and its retry costs another.
  for (std::size_t next = 0; next < 4; ++next) {
    rig.Deliver(QueryRig::Failure(
      SubQuery(rig.mSent[next]), ErrorCode::Overloaded, Execution::NotRun));
  }
  CHECK(rig.mSent.size() == 7);
  CHECK(rig.mEngine.Counters().mUnpaid == 1);
  rig.Advance(milliseconds(100));
  CHECK(rig.mSent.size() == 7);
}

TEST_CASE("A query that can not be planned or admitted was not run")
{
  QueryEngineSettings settings = QueryRig::Settings();
  settings.mAdmission.mMaximumRunning = 1;
  settings.mAdmission.mMaximumQueued = 1;
  QueryRig rig(settings);
  const auto refusal = [&rig](const QueryRequest& aRequest) {
    rig.mOutcomes.clear();
    rig.Submit(aRequest);
    const QueryRefusal& refused = rig.OnlyRefusal();
    CHECK(refused.mExecution == Execution::NotRun);
    CHECK(refused.mRequest == aRequest.mRequest);
    return refused.mError;
  };
  QueryRequest request = rig.Request();
  CHECK(refusal(request).mCode == ErrorCode::NotFound);
  rig.ReportShards(1, 1);
  rig.mConfiguration->mAdmittances[TargetName("a0")] = Admittance::NotForCaller;
  CHECK(refusal(request).mCode == ErrorCode::Forbidden);
  rig.mConfiguration->mAdmittances.clear();
  request.mTimeLeft = milliseconds(5);
  CHECK(refusal(request).mCode == ErrorCode::DeadlinePassed);

  request = rig.Request();
  rig.mOutcomes.clear();
  rig.Submit(request);
  rig.Submit(request);
  CHECK(refusal(request).mCode == ErrorCode::Overloaded);
  CHECK(rig.mSent.size() == 1);
  // The queued query runs when the first one is over.
  rig.mOutcomes.clear();
  AnswerFrom(rig, 0);
  CHECK(rig.mSent.size() == 2);
  CHECK(rig.mOutcomes.size() == 2);
}

} // namespace verbenachute
