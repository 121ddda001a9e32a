#pragma once

#include "FakeConfiguration.h"

#include <LibQuery/QueryEngine.h>

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace verbenachute {

/// A query engine with a fake time, whose holders and targets are the test.
class QueryRig
{
public:
  static constexpr std::uint64_t kVersion = 7;

  explicit QueryRig(QueryEngineSettings aSettings = Settings())
    : mEngine(std::move(aSettings))
  {
    mEngine.SetConfiguration(mConfiguration);
  }

  static QueryEngineSettings Settings()
  {
    QueryEngineSettings settings;
    settings.mHedge.mMode = HedgeMode::Fixed;
    settings.mHedge.mFixedDelay = milliseconds(20);
    settings.mSeed = 5;
    return settings;
  }

  /// Makes a target report what it holds, all in the given condition.
  void Report(const std::string& aTarget,
              std::vector<HeldVersion> aVersions,
              TargetCondition aCondition = TargetCondition::Ready)
  {
    const TargetName target(aTarget);
    std::vector<TargetName>& targets = mConfiguration->mTargets;
    if (std::find(targets.begin(), targets.end(), target) == targets.end()) {
      targets.push_back(target);
    }
    const TargetState state{ target,
                             aCondition,
                             std::move(aVersions),
                             mEngine.Catalogue().NextSequence(target) };
    REQUIRE(mEngine.Catalogue().Apply(mHolder, state) == ReportVerdict::Taken);
  }

  /// Each shard s of a version at the targets "a<s>", "b<s>" and so on.
  void ReportShards(std::uint32_t aShards,
                    std::uint32_t aReplicas,
                    std::uint64_t aVersion = kVersion)
  {
    for (std::uint32_t shard = 0; shard < aShards; ++shard) {
      for (std::uint32_t replica = 0; replica < aReplicas; ++replica) {
        const char letter = static_cast<char>('a' + replica);
        Report(letter + std::to_string(shard),
               { { IndexVersion(aVersion), aShards, { ShardId(shard) } } });
      }
    }
  }

  QueryRequest Request(Idempotency aIdempotency = Idempotency::Idempotent) const
  {
    QueryRequest request;
    request.mCaller = CallerId("van-17");
    request.mClass = CallerClass("field");
    request.mService = mConfiguration->mService;
    request.mRequest = RequestId("r-1");
    request.mIdempotency = aIdempotency;
    request.mTimeLeft = milliseconds(500);
    request.mQuery = "cracks km 12";
    request.mLimit = 10;
    return request;
  }

  QueryId Submit(QueryRequest aRequest)
  {
    Submission submission = mEngine.Submit(std::move(aRequest), mNow);
    Take(std::move(submission.mActions));
    return submission.mQuery;
  }

  /// Lets time pass and calls the timer whenever it is due.
  void Advance(Duration aDuration)
  {
    const Instant until = mNow + aDuration;
    while (mEngine.NextWake().has_value() && *mEngine.NextWake() <= until) {
      mNow = std::max(mNow, *mEngine.NextWake());
      Take(mEngine.OnTimer(mNow));
    }
    mNow = until;
  }

  /// Identifier of the one hit of a shard of a version.
  static std::string HitOf(IndexVersion aVersion, ShardId aShard)
  {
    return "d-" + std::to_string(aVersion.value()) + "-" +
           std::to_string(aShard.value());
  }

  static SubAnswer Answer(const SubQuery& aQuery, double aScore = 1)
  {
    const std::string identifier = HitOf(aQuery.mVersion, aQuery.mShard);
    return { aQuery.mQuery,
             aQuery.mAttempt,
             ShardResult{ aQuery.mVersion,
                          aQuery.mShard,
                          { { identifier, aScore, "text" } } },
             Duration(0),
             Duration(0) };
  }

  static SubAnswer Failure(const SubQuery& aQuery,
                           ErrorCode aCode,
                           Execution aExecution,
                           Step aStep = Step::Target)
  {
    return { aQuery.mQuery,
             aQuery.mAttempt,
             SubFailure{ { aStep, aCode, aQuery.mTarget.value(), "" },
                         aExecution },
             Duration(0),
             Duration(0) };
  }

  void Deliver(const SubAnswer& aAnswer)
  {
    Take(mEngine.OnSubAnswer(aAnswer, mNow));
  }

  void Take(QueryActions aActions)
  {
    for (QueryAction& action : aActions) {
      if (SendSubQuery* send = std::get_if<SendSubQuery>(&action)) {
        mSent.push_back(std::move(send->mSubQuery));
      } else if (CancelSubQuery* cancel =
                   std::get_if<CancelSubQuery>(&action)) {
        mCancelled.push_back(cancel->mAttempt);
      } else {
        CompleteQuery* complete = std::get_if<CompleteQuery>(&action);
        REQUIRE(complete != nullptr);
        mCompletedAt[complete->mQuery] = mNow;
        mOutcomes.emplace_back(complete->mQuery, std::move(complete->mOutcome));
      }
    }
  }

  const QueryAnswer& OnlyAnswer() const
  {
    REQUIRE(mOutcomes.size() == 1);
    REQUIRE(std::holds_alternative<QueryAnswer>(mOutcomes[0].second));
    return std::get<QueryAnswer>(mOutcomes[0].second);
  }

  const QueryRefusal& OnlyRefusal() const
  {
    REQUIRE(mOutcomes.size() == 1);
    REQUIRE(std::holds_alternative<QueryRefusal>(mOutcomes[0].second));
    return std::get<QueryRefusal>(mOutcomes[0].second);
  }

  Instant mNow{ seconds(1000) };
  NodeIdentity mHolder{ NodeName("node-1"), Incarnation(1) };
  std::shared_ptr<FakeConfiguration> mConfiguration =
    std::make_shared<FakeConfiguration>();
  QueryEngine mEngine;
  /// Every sub-query that was ever sent, in order.
  std::vector<SubQuery> mSent;
  std::vector<AttemptId> mCancelled;
  std::vector<std::pair<QueryId, QueryOutcome>> mOutcomes;
  std::map<QueryId, Instant> mCompletedAt;
};

} // namespace verbenachute
