#include "QueryRig.h"

#include <cstdio>
#include <functional>
#include <set>

namespace verbenachute {

namespace {

/// How far the attempt at shard 0 of the query under test has come when the
/// fault strikes.
enum class QueryStep
{
  BeforeSend,
  Sent,
  Running,
  Answered,
  Merged,
};

constexpr std::uint32_t kShards = 3;
constexpr Duration kDeadline = milliseconds(500);

/// One cell of the matrix: the query under test among its targets.
class Cell
{
public:
  Cell(QueryStep aStep, Idempotency aIdempotency)
    : mStep(aStep)
    , mIdempotency(aIdempotency)
    , mRig(SettingsOf(aStep))
  {
    mRig.ReportShards(kShards, 2);
    if (aStep == QueryStep::BeforeSend) {
      // One other query runs, so that the one under test has to wait.
      mRig.Submit(mRig.Request());
      mBlocker = mRig.mSent;
      mRig.mSent.clear();
    }
    mSubmitted = mRig.mNow;
    mQuery = mRig.Submit(mRig.Request(aIdempotency));
    if (aStep == QueryStep::Answered || aStep == QueryStep::Merged) {
      mRig.Deliver(QueryRig::Answer(mRig.mSent[0]));
      mHandled.insert(mRig.mSent[0].mAttempt);
    }
    if (aStep == QueryStep::Merged) {
      Serve();
    }
  }

  static QueryEngineSettings SettingsOf(QueryStep aStep)
  {
    QueryEngineSettings settings = QueryRig::Settings();
    if (aStep == QueryStep::BeforeSend) {
      settings.mAdmission.mMaximumRunning = 1;
    }
    return settings;
  }

  /// Ends the other query; the one under test starts if it still waits.
  void Unblock()
  {
    for (const SubQuery& query : std::exchange(mBlocker, {})) {
      mRig.Deliver(QueryRig::Answer(query));
    }
  }

  /// Shard 0's attempt fails.
  void Fail(ErrorCode aCode, Execution aExecution, Step aStep = Step::Target)
  {
    Unblock();
    mHandled.insert(mRig.mSent[0].mAttempt);
    mRig.Deliver(QueryRig::Failure(mRig.mSent[0], aCode, aExecution, aStep));
  }

  /// Answers whatever is open, until nothing more is sent.
  void Serve()
  {
    Unblock();
    for (std::size_t next = 0; next < mRig.mSent.size(); ++next) {
      const SubQuery query = mRig.mSent[next];
      if (mHandled.insert(query.mAttempt).second) {
        mRig.Deliver(QueryRig::Answer(query));
      }
    }
  }

  /// W whole, P without shard 0, p only shard 0, N "not run", U "outcome
  /// unknown", R "ran", X anything else. Checks what holds in every cell.
  char Outcome()
  {
    Serve();
    mRig.Advance(milliseconds(50));
    Serve();
    mRig.Advance(kDeadline);
    CHECK(mRig.mEngine.QueryCount() == 0);
    const std::vector<std::pair<QueryId, QueryOutcome>> outcomes =
      OutcomesUnderTest();
    if (outcomes.size() != 1 ||
        mRig.mCompletedAt.at(mQuery) > mSubmitted + kDeadline) {
      return 'X';
    }
    const QueryOutcome& outcome = outcomes.front().second;
    if (const QueryRefusal* refusal = std::get_if<QueryRefusal>(&outcome)) {
      return refusal->mExecution == Execution::NotRun ? 'N'
             : refusal->mExecution == Execution::Ran  ? 'R'
                                                      : 'U';
    }
    return OutcomeOf(std::get<QueryAnswer>(outcome));
  }

  std::vector<std::pair<QueryId, QueryOutcome>> OutcomesUnderTest() const
  {
    std::vector<std::pair<QueryId, QueryOutcome>> outcomes;
    for (const std::pair<QueryId, QueryOutcome>& outcome : mRig.mOutcomes) {
      if (outcome.first == mQuery) {
        outcomes.push_back(outcome);
      }
    }
    return outcomes;
  }

  char OutcomeOf(const QueryAnswer& aAnswer) const
  {
    const Coverage& coverage = aAnswer.mCoverage;
    std::set<std::string> expected;
    for (std::uint32_t shard = 0; shard < coverage.mShardsAsked; ++shard) {
      expected.insert(QueryRig::HitOf(mSnapshot, ShardId(shard)));
    }
    for (const ShardId missing : coverage.mMissing) {
      expected.erase(QueryRig::HitOf(mSnapshot, missing));
    }
    std::set<std::string> seen;
    for (const Hit& hit : aAnswer.mHits) {
      seen.insert(hit.mIdentifier);
    }
    if (aAnswer.mSnapshot != mSnapshot || seen != expected ||
        coverage.mShardsAnswered != expected.size()) {
      return 'X';
    }
    if (coverage.mMissing.empty()) {
      return 'W';
    }
    if (coverage.mMissing == std::vector<ShardId>{ ShardId(0) }) {
      return 'P';
    }
    return coverage.mShardsAnswered == 1 ? 'p' : 'X';
  }

  QueryStep mStep;
  Idempotency mIdempotency;
  QueryRig mRig;
  Instant mSubmitted;
  QueryId mQuery;
  std::vector<SubQuery> mBlocker;
  std::set<AttemptId> mHandled;
  IndexVersion mSnapshot{ QueryRig::kVersion };
};

struct Fault
{
  std::string mName;
  std::function<void(Cell&)> mStrike;
  /// Expected outcomes from BeforeSend to Merged. A dot is a cell that does
  /// not occur: nothing is sent before a query starts, so nothing of it can
  /// come back.
  std::string mIdempotent;
  std::string mNonIdempotent;
};

// The answer to shard 0 comes when others have come, after 100 ms.
void
StrikeLate(Cell& aCell)
{
  aCell.mHandled.insert(aCell.mRig.mSent[0].mAttempt);
  aCell.Serve();
  aCell.mRig.Advance(milliseconds(100));
  aCell.Serve();
  aCell.mRig.Deliver(QueryRig::Answer(aCell.mRig.mSent[0]));
}

void
StrikeDuplicate(Cell& aCell)
{
  aCell.mHandled.insert(aCell.mRig.mSent[0].mAttempt);
  aCell.mRig.Deliver(QueryRig::Answer(aCell.mRig.mSent[0]));
  aCell.mRig.Deliver(QueryRig::Answer(aCell.mRig.mSent[0], 2));
}

// The result of shard 1 comes under the attempt of shard 0, and under a query
// and an attempt that never were.
void
StrikeCrossed(Cell& aCell)
{
  SubAnswer answer = QueryRig::Answer(aCell.mRig.mSent[1]);
  answer.mAttempt = aCell.mRig.mSent[0].mAttempt;
  aCell.mRig.Deliver(answer);
  answer.mAttempt = AttemptId(9999);
  aCell.mRig.Deliver(answer);
  answer.mQuery = QueryId(9999);
  aCell.mRig.Deliver(answer);
}

void
StrikeReordered(Cell& aCell)
{
  for (std::size_t next = kShards; next > 0; --next) {
    aCell.mRig.Deliver(QueryRig::Answer(aCell.mRig.mSent[next - 1]));
    aCell.mHandled.insert(aCell.mRig.mSent[next - 1].mAttempt);
  }
}

void
StrikeWrongVersion(Cell& aCell)
{
  SubQuery query = aCell.mRig.mSent[0];
  query.mVersion = IndexVersion(QueryRig::kVersion + 1);
  aCell.mRig.Deliver(QueryRig::Answer(query, 99));
}

// Both replicas of shard 0 say so; another version is whole all along.
void
StrikeVersionGoneEverywhere(Cell& aCell)
{
  const bool isFirst =
    aCell.mStep == QueryStep::Sent || aCell.mStep == QueryStep::Running;
  QueryRig& rig = aCell.mRig;
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    rig.Report("c" + std::to_string(shard),
               { { IndexVersion(6), kShards, { ShardId(shard) } } });
  }
  aCell.Fail(ErrorCode::VersionGone, Execution::NotRun);
  if (isFirst) {
    aCell.mHandled.insert(rig.mSent.back().mAttempt);
    rig.Deliver(QueryRig::Failure(
      rig.mSent.back(), ErrorCode::VersionGone, Execution::NotRun));
  }
  if (isFirst && aCell.mIdempotency == Idempotency::Idempotent) {
    aCell.mSnapshot = IndexVersion(6);
    CHECK(rig.mSent.size() == 2 * kShards + 1);
  }
}

// A newer version with another shard count appears, and then answers of it.
void
StrikeRepartition(Cell& aCell)
{
  QueryRig& rig = aCell.mRig;
  rig.ReportShards(kShards + 1, 2, QueryRig::kVersion + 1);
  for (std::uint32_t shard = 0; shard < kShards; ++shard) {
    rig.Report("c" + std::to_string(shard),
               { { IndexVersion(7), kShards, { ShardId(shard) } } });
  }
  if (aCell.mStep == QueryStep::BeforeSend) {
    aCell.mSnapshot = IndexVersion(QueryRig::kVersion + 1);
  }
}

void
StrikeDeadline(Cell& aCell)
{
  aCell.mRig.Advance(kDeadline);
  for (const SubQuery& query : aCell.mRig.mSent) {
    aCell.mHandled.insert(query.mAttempt);
  }
}

void
StrikeLostReply(Cell& aCell)
{
  aCell.mHandled.insert(aCell.mRig.mSent[0].mAttempt);
}

void
StrikeCallerGone(Cell& aCell)
{
  aCell.mRig.Take(
    aCell.mRig.mEngine.OnCallerDisconnected(aCell.mQuery, aCell.mRig.mNow));
}

void
StrikeTargetLost(Cell& aCell)
{
  const TargetName target =
    aCell.mRig.mSent.empty() ? TargetName("a0") : aCell.mRig.mSent[0].mTarget;
  aCell.mRig.Take(aCell.mRig.mEngine.OnTargetLost(target, aCell.mRig.mNow));
}

// Before a target runs the attempt the failure is known to be "not run";
// aRunning is what is known when it comes later.
std::function<void(Cell&)>
Failing(ErrorCode aCode,
        Execution aRunning = Execution::NotRun,
        Step aStep = Step::Target)
{
  return [=](Cell& aCell) {
    const bool isBefore = aCell.mStep == QueryStep::Sent;
    aCell.Fail(aCode, isBefore ? Execution::NotRun : aRunning, aStep);
  };
}

const std::vector<Fault> kFaults = {
  { "late", StrikeLate, ".WWWW", ".WWWW" },
  { "duplicate", StrikeDuplicate, ".WWWW", ".WWWW" },
  { "crossed", StrikeCrossed, ".WWWW", ".WWWW" },
  { "reordered", StrikeReordered, ".WWWW", ".WWWW" },
  { "wrong version", StrikeWrongVersion, ".WWWW", ".WWWW" },
  { "version gone", Failing(ErrorCode::VersionGone), ".WWWW", ".WWWW" },
  { "version gone everywhere", StrikeVersionGoneEverywhere, ".WWWW", ".PPWW" },
  { "repartition", StrikeRepartition, "WWWWW", "WWWWW" },
  { "target crash",
    Failing(ErrorCode::Unreachable, Execution::OutcomeUnknown),
    ".WWWW",
    ".WPWW" },
  { "target fails",
    Failing(ErrorCode::TargetFailed, Execution::Ran),
    ".WWWW",
    ".WPWW" },
  { "node lost",
    Failing(ErrorCode::Unreachable, Execution::OutcomeUnknown, Step::Route),
    ".WWWW",
    ".WPWW" },
  { "cancelled at the target",
    Failing(ErrorCode::Cancelled, Execution::OutcomeUnknown),
    ".WWWW",
    ".WPWW" },
  { "not holder", Failing(ErrorCode::NotHolder), ".WWWW", ".WWWW" },
  { "overloaded", Failing(ErrorCode::Overloaded), ".WWWW", ".WWWW" },
  { "draining", Failing(ErrorCode::Draining), ".WWWW", ".WWWW" },
  { "poisoned", Failing(ErrorCode::Poisoned), ".PPWW", ".PPWW" },
  { "rejected", Failing(ErrorCode::InvalidInput), ".PPWW", ".PPWW" },
  { "deadline", StrikeDeadline, "NUUpW", "NUUpW" },
  { "caller gone", StrikeCallerGone, "NUUUW", "NWWWW" },
  { "lost reply", StrikeLostReply, ".WWWW", ".PPWW" },
  { "target lost", StrikeTargetLost, "WWWWW", "WWWWW" },
};

const std::vector<std::pair<QueryStep, std::string>> kSteps = {
  { QueryStep::BeforeSend, "before send" }, { QueryStep::Sent, "sent" },
  { QueryStep::Running, "running" },        { QueryStep::Answered, "answered" },
  { QueryStep::Merged, "merged" },
};

} // namespace

TEST_CASE("Every fault at every step of a query has its one outcome")
{
  int held = 0;
  int failed = 0;
  int notApplicable = 0;
  for (const Fault& fault : kFaults) {
    for (const Idempotency idempotency :
         { Idempotency::Idempotent, Idempotency::NonIdempotent }) {
      const bool isIdempotent = idempotency == Idempotency::Idempotent;
      const std::string& expected =
        isIdempotent ? fault.mIdempotent : fault.mNonIdempotent;
      std::string seen;
      for (std::size_t step = 0; step < kSteps.size(); ++step) {
        CAPTURE(fault.mName);
        CAPTURE(kSteps[step].second);
        CAPTURE(isIdempotent);
        if (expected[step] == '.') {
          notApplicable += 1;
          seen += '.';
          continue;
        }
        Cell cell(kSteps[step].first, idempotency);
        fault.mStrike(cell);
        seen += cell.Outcome();
        (seen.back() == expected[step] ? held : failed) += 1;
      }
      CAPTURE(fault.mName);
      CAPTURE(isIdempotent);
      CHECK(seen == expected);
    }
  }
  std::printf("query faults: cells %d, held %d, failed %d, not applicable %d\n",
              held + failed + notApplicable,
              held,
              failed,
              notApplicable);
}

} // namespace verbenachute
