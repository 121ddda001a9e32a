#include "QuerySimulation.h"

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::size_t kTargets = 8;
constexpr std::size_t kReplicas = 3;

bool
HasClassLimits(std::uint64_t aSeed)
{
  return aSeed % 4 == 0;
}

QueryEngineSettings
SettingsOf(std::uint64_t aSeed)
{
  QueryEngineSettings settings;
  settings.mSeed = aSeed;
  settings.mHedge.mMode = static_cast<HedgeMode>(aSeed % 3);
  settings.mHedge.mFixedDelay = milliseconds(8);
  if (HasClassLimits(aSeed)) {
    settings.mAdmission.mMaximumRunning = 3;
    settings.mAdmission.mMaximumQueued = 3;
    settings.mAdmission.mClasses = { { CallerClass("field"), 5, 3, 3 } };
  }
  return settings;
}

std::size_t
IndexOf(const TargetName& aTarget)
{
  return std::stoul(aTarget.value().substr(1));
}

} // namespace

QuerySimulation::QuerySimulation(std::uint64_t aSeed,
                                 std::size_t aQueries,
                                 Tracing aTracing)
  : mRandom(aSeed, 17)
  , mTracing(aTracing)
  , mQueryCount(aQueries)
  , mHasClassLimits(HasClassLimits(aSeed))
  , mConfiguration(std::make_shared<FakeConfiguration>())
  , mEngine(SettingsOf(aSeed))
  , mTargets(kTargets)
{
  const auto draw = [this]() -> std::uint32_t {
    constexpr std::uint32_t kChances[] = { 0, 0, 10, 50, 200 };
    return kChances[mRandom(5)];
  };
  mWeather = { draw(), draw(), draw(), draw(), draw(),    draw(),
               draw(), draw(), draw(), draw(), draw() / 2 };
  for (std::size_t target = 0; target < kTargets; ++target) {
    mConfiguration->mTargets.emplace_back("t" + std::to_string(target));
  }
  mEngine.SetConfiguration(mConfiguration);
}

const std::vector<std::string>&
QuerySimulation::Run()
{
  mShardCounts[mNewest] = 4;
  for (std::size_t target = 0; target < kTargets; ++target) {
    mTargets[target].mVersions = { mNewest };
    Report(target);
  }
  Schedule(milliseconds(1), [this] { Submit(mQueryCount); });
  Schedule(Between(milliseconds(5), milliseconds(200)), [this] { Publish(); });
  while (!mEvents.empty() || mEngine.NextWake().has_value()) {
    const std::optional<Instant> wake = mEngine.NextWake();
    if (wake.has_value() &&
        (mEvents.empty() || *wake <= mEvents.begin()->first)) {
      mNow = std::max(mNow, *wake);
      Carry(mEngine.OnTimer(mNow));
      continue;
    }
    mNow = mEvents.begin()->first;
    const std::function<void()> event = std::move(mEvents.begin()->second);
    mEvents.erase(mEvents.begin());
    event();
  }
  CheckEnd();
  return mBroken;
}

void
QuerySimulation::Schedule(Duration aDelay, std::function<void()> aEvent)
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

bool
QuerySimulation::Chance(std::uint32_t aThousandths)
{
  return mRandom(1000) < aThousandths;
}

Duration
QuerySimulation::Between(Duration aLeast, Duration aMost)
{
  return aLeast + Duration(mRandom(
                    static_cast<std::uint32_t>((aMost - aLeast).count())));
}

std::uint32_t
QuerySimulation::ShardCountOf(std::uint64_t aVersion) const
{
  return mShardCounts.at(aVersion);
}

std::vector<ShardId>
QuerySimulation::ShardsOf(std::size_t aTarget, std::uint64_t aVersion) const
{
  std::vector<ShardId> shards;
  for (std::uint32_t shard = 0; shard < ShardCountOf(aVersion); ++shard) {
    const std::size_t distance =
      (aTarget + kTargets - (shard + aVersion) % kTargets) % kTargets;
    if (distance < kReplicas) {
      shards.emplace_back(shard);
    }
  }
  return shards;
}

// A version with another shard count appears, target by target, and the oldest
// of three goes away before all nodes know.
void
QuerySimulation::Publish()
{
  mNewest += 1;
  mShardCounts[mNewest] = 1 + mRandom(7);
  Trace("publish " + std::to_string(mNewest));
  for (std::size_t target = 0; target < kTargets; ++target) {
    Schedule(Between(milliseconds(0), milliseconds(40)), [this, target] {
      std::set<std::uint64_t>& versions = mTargets[target].mVersions;
      versions.insert(mNewest);
      while (versions.size() > 1 + mRandom(2)) {
        versions.erase(versions.begin());
      }
      Schedule(Between(milliseconds(0), milliseconds(30)),
               [this, target] { Report(target); });
    });
  }
  if (mNewest < 6) {
    Schedule(Between(milliseconds(50), milliseconds(300)),
             [this] { Publish(); });
  }
}

void
QuerySimulation::Report(std::size_t aTarget)
{
  const TargetName name = mConfiguration->mTargets[aTarget];
  TargetState state{ name, TargetCondition::Ready, {}, 0 };
  if (mTargets[aTarget].mDownUntil > mNow) {
    state.mCondition = TargetCondition::Down;
  } else if (Chance(100)) {
    state.mCondition = TargetCondition::Warming;
  }
  for (const std::uint64_t version : mTargets[aTarget].mVersions) {
    state.mVersions.push_back({ IndexVersion(version),
                                ShardCountOf(version),
                                ShardsOf(aTarget, version) });
  }
  state.mSequence = mEngine.Catalogue().NextSequence(name);
  (void)mEngine.Catalogue().Apply({ NodeName("h"), Incarnation(1) }, state);
}

void
QuerySimulation::Submit(std::size_t aLeft)
{
  static const CallerClass kClasses[] = { CallerClass("field"),
                                          CallerClass("audit") };
  QueryRequest request;
  request.mCaller = CallerId("van-17");
  request.mClass = kClasses[mRandom(2)];
  request.mService = mConfiguration->mService;
  request.mRequest = RequestId("r-" + std::to_string(aLeft));
  request.mIdempotency =
    Chance(700) ? Idempotency::Idempotent : Idempotency::NonIdempotent;
  request.mTimeLeft = Between(milliseconds(4), milliseconds(250));
  Query query;
  query.mIsPoison = Chance(mWeather.mPoison);
  // Poison is sent again and again under new request identifiers.
  request.mQuery = query.mIsPoison ? "poison" : "text " + std::to_string(aLeft);
  request.mLimit = 100;
  query.mRequest = request;
  query.mDeadline = mNow + request.mTimeLeft;
  Trace("submit " + request.mRequest.value());

  Submission submission = mEngine.Submit(request, mNow);
  mQueries.emplace(submission.mQuery, query);
  Carry(std::move(submission.mActions));
  if (Chance(mWeather.mCallerDisconnected)) {
    const QueryId id = submission.mQuery;
    Schedule(Between(milliseconds(0), milliseconds(60)),
             [this, id] { Carry(mEngine.OnCallerDisconnected(id, mNow)); });
  }
  if (aLeft > 1) {
    Schedule(Between(milliseconds(0), milliseconds(25)),
             [this, aLeft] { Submit(aLeft - 1); });
  }
}

void
QuerySimulation::Carry(QueryActions aActions)
{
  for (const QueryAction& action : aActions) {
    if (const SendSubQuery* send = std::get_if<SendSubQuery>(&action)) {
      OnSend(send->mSubQuery);
    } else if (const CancelSubQuery* cancel =
                 std::get_if<CancelSubQuery>(&action)) {
      mCancelled.insert(cancel->mAttempt);
    } else if (const CompleteQuery* complete =
                 std::get_if<CompleteQuery>(&action)) {
      OnComplete(*complete);
    }
  }
}

void
QuerySimulation::OnSend(const SubQuery& aQuery)
{
  Trace("send " + std::to_string(aQuery.mAttempt.value()) + " shard " +
        std::to_string(aQuery.mShard.value()) + " version " +
        std::to_string(aQuery.mVersion.value()) + " to " +
        aQuery.mTarget.value());
  Query& query = mQueries.at(aQuery.mQuery);
  query.mSends += 1;
  std::set<AttemptId>& mayRun = query.mMayRun[aQuery.mShard];
  if (aQuery.mIdempotency == Idempotency::NonIdempotent && !mayRun.empty()) {
    Broken("a non-idempotent shard is sent again while it may run");
  }
  if (aQuery.mTimeLeft <= Duration(0) || query.mCompletions > 0) {
    Broken("a sub-query is sent without time or after the answer");
  }
  mayRun.insert(aQuery.mAttempt);
  CheckBudget(aQuery);
  mRecent.push_back(aQuery);
  if (Chance(mWeather.mLostRequest)) {
    return;
  }
  Schedule(Between(Duration(500), milliseconds(3)),
           [this, aQuery] { Arrive(aQuery); });
}

void
QuerySimulation::Arrive(const SubQuery& aQuery)
{
  static constexpr ErrorCode kRefusals[] = {
    ErrorCode::NotHolder,   ErrorCode::Overloaded, ErrorCode::Draining,
    ErrorCode::Unreachable, ErrorCode::Forbidden,  ErrorCode::DeadlinePassed
  };
  Target& target = mTargets[IndexOf(aQuery.mTarget)];
  if (mCancelled.contains(aQuery.mAttempt)) {
    Refuse(aQuery, ErrorCode::Cancelled, Execution::NotRun);
  } else if (target.mDownUntil > mNow) {
    Refuse(aQuery, ErrorCode::Unreachable, Execution::NotRun);
  } else if (Chance(mWeather.mRefusal)) {
    Refuse(aQuery, kRefusals[mRandom(6)], Execution::NotRun);
  } else if (!target.mVersions.contains(aQuery.mVersion.value())) {
    Refuse(aQuery, ErrorCode::VersionGone, Execution::NotRun);
  } else {
    RunAtTarget(aQuery, target);
  }
}

void
QuerySimulation::RunAtTarget(const SubQuery& aQuery, Target& aTarget)
{
  Query& query = mQueries.at(aQuery.mQuery);
  query.mExecutions += 1;
  query.mExecutionsOf[aQuery.mShard] += 1;
  if (query.mIsSaidNotRun) {
    Broken("a query runs that was said not to have run");
  }
  if (query.mIsPoison || Chance(mWeather.mCrash / 4)) {
    Crash(aQuery, aTarget);
    return;
  }
  if (Chance(mWeather.mFailure)) {
    Refuse(aQuery, ErrorCode::TargetFailed, Execution::Ran);
    return;
  }
  SubAnswer answer = Result(aQuery, query);
  if (Chance(mWeather.mWrongVersion)) {
    SubQuery other = aQuery;
    other.mVersion = IndexVersion(mNewest + 1);
    answer = Result(other, query);
  }
  if (Chance(mWeather.mCrossed)) {
    answer = Crossed(std::move(answer), aQuery);
  }
  if (Chance(mWeather.mDuplicate)) {
    Reply(answer, Between(milliseconds(1), milliseconds(60)));
  }
  if (!Chance(mWeather.mLostReply)) {
    Reply(answer,
          Chance(mWeather.mStraggler)
            ? Between(milliseconds(20), milliseconds(400))
            : Between(milliseconds(1), milliseconds(6)));
  }
}

// The answer comes under the name of another attempt, mostly one still open.
SubAnswer
QuerySimulation::Crossed(SubAnswer aAnswer, const SubQuery& aQuery)
{
  constexpr std::size_t kRecent = 16;
  const std::size_t recent = std::min(mRecent.size(), kRecent);
  const std::size_t back = 1 + mRandom(static_cast<std::uint32_t>(recent));
  const SubQuery& other = mRecent[mRecent.size() - back];
  aAnswer.mAttempt = other.mAttempt;
  if (other.mShard == aQuery.mShard && other.mQuery == aQuery.mQuery) {
    // Both attempts ask the same, so either may have this answer.
    aAnswer.mQuery = QueryId(0);
  }
  return aAnswer;
}

void
QuerySimulation::Crash(const SubQuery& aQuery, Target& aTarget)
{
  Trace("crash " + aQuery.mTarget.value());
  Query& query = mQueries.at(aQuery.mQuery);
  query.mCrashedTargets.insert(aQuery.mTarget.value());
  aTarget.mDownUntil = mNow + milliseconds(300);
  Refuse(aQuery, ErrorCode::Unreachable, Execution::OutcomeUnknown);
  const std::size_t index = IndexOf(aQuery.mTarget);
  if (Chance(300)) {
    const TargetName name = aQuery.mTarget;
    Schedule(milliseconds(1),
             [this, name] { Carry(mEngine.OnTargetLost(name, mNow)); });
  }
  Schedule(milliseconds(20), [this, index] { Report(index); });
  Schedule(milliseconds(301), [this, index] { Report(index); });
}

SubAnswer
QuerySimulation::Result(const SubQuery& aQuery, const Query& aTruth)
{
  const std::string shard = std::to_string(aQuery.mShard.value());
  const std::string text = aTruth.mRequest.mRequest.value() + "/" +
                           std::to_string(aQuery.mVersion.value()) + "/" +
                           shard;
  return { aQuery.mQuery,
           aQuery.mAttempt,
           ShardResult{
             aQuery.mVersion, aQuery.mShard, { { "d-" + shard, 1, text } } },
           Duration(0),
           Duration(0) };
}

void
QuerySimulation::Refuse(const SubQuery& aQuery,
                        ErrorCode aCode,
                        Execution aExecution)
{
  Reply({ aQuery.mQuery,
          aQuery.mAttempt,
          SubFailure{ { Step::Target, aCode, aQuery.mTarget.value(), "" },
                      aExecution },
          Duration(0),
          Duration(0) },
        Between(milliseconds(1), milliseconds(4)));
}

void
QuerySimulation::Reply(SubAnswer aAnswer, Duration aDelay)
{
  Schedule(aDelay, [this, aAnswer] {
    Trace("answer to " + std::to_string(aAnswer.mAttempt.value()));
    const SubFailure* failure = std::get_if<SubFailure>(&aAnswer.mOutcome);
    const auto query = mQueries.find(aAnswer.mQuery);
    if (failure != nullptr && failure->mExecution == Execution::NotRun) {
      for (auto& [shard, attempts] : query->second.mMayRun) {
        attempts.erase(aAnswer.mAttempt);
      }
    }
    if (failure != nullptr &&
        FailureKindOf(*failure) == FailureKind::CrashLike &&
        !query->second.mHasCrashed) {
      query->second.mHasCrashed = true;
      query->second.mSendsBeforeCrash = query->second.mSends;
    }
    Carry(mEngine.OnSubAnswer(aAnswer, mNow));
  });
}

} // namespace verbenachute
