#include "ForwardRig.h"

#include <LibForward/RecordMerger.h>

#include <doctest/doctest.h>
#include <map>
#include <set>

namespace verbenachute {

TEST_CASE("Without a plan or a route nothing is sent")
{
  ForwardEngine engine{ ForwardSettings() };
  CallerRequest request;
  const ForwardActions actions =
    engine.Submit(RequestNumber(1),
                  std::make_shared<const CallerRequest>(request),
                  Instant(seconds(1)));
  REQUIRE(actions.size() == 1);
  const AnswerAction& answer = std::get<AnswerAction>(actions.front());
  REQUIRE(std::holds_alternative<RefusedOutcome>(answer.mOutcome));
  CHECK(std::get<RefusedOutcome>(answer.mOutcome).mReason ==
        RefusalReason::NoPlan);
  ForwardRig rig;
  rig.ListAll();
  CHECK(rig.OutcomeOf<NoRouteOutcome>(rig.Submit("/other/1")) != nullptr);
  CHECK(rig.mSent.empty());
}

TEST_CASE("A plan never goes back")
{
  ForwardRig rig;
  rig.mContent.mVersion = PlanVersion(3);
  rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
  rig.mContent.mVersion = PlanVersion(2);
  rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
  CHECK(rig.mEngine.Plan()->Version() == PlanVersion(3));
}

TEST_CASE("A query asks each shard once and merges the answers")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  REQUIRE(rig.mSent.size() == 4);
  std::set<std::string> shards;
  char first = 'a';
  for (const SendAction& send : rig.Open()) {
    shards.insert(send.mTarget.value().substr(0, 2));
    CHECK(rig.AnswerOf(query) == nullptr);
    rig.Answer(send.mAttempt,
               std::string(1, first++) + std::string(kRecordBytes - 1, '.'));
  }
  CHECK(shards.size() == 4);
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(query);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mMissingParts == 0);
  CHECK(outcome->mSignatures.size() == 4);
  CHECK(outcome->mRecords.size() == 2 * kRecordBytes);
  CHECK(outcome->mRecords.front() == 'd');
}

TEST_CASE("A query keeps the plan with which it began")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  rig.mContent.mVersion = PlanVersion(2);
  std::get<ShardSet>(rig.mContent.mRoutes[0].mDestination).mShards = {
    ServiceName("single")
  };
  rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
  for (const SendAction& send : rig.Open()) {
    rig.Answer(send.mAttempt);
  }
  REQUIRE(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query)->mSignatures.size() == 4);
  CHECK(rig.AnswerOf(query)->mSummary.mPlan == PlanVersion(1));
}

TEST_CASE("One slow shard: a second target is asked, the first answer counts")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  const std::vector<SendAction> first = rig.Open();
  rig.Pass(milliseconds(10));
  for (std::size_t i = 1; i < first.size(); ++i) {
    rig.Answer(first[i].mAttempt);
  }
  rig.Pass(milliseconds(50));
  REQUIRE(rig.mSent.size() == 5);
  CHECK(rig.mSent[4].mTarget != first[0].mTarget);
  CHECK(rig.mSent[4].mTarget.value().substr(0, 2) ==
        first[0].mTarget.value().substr(0, 2));
  rig.Answer(rig.mSent[4].mAttempt);
  REQUIRE(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query)->mMissingParts == 0);
  CHECK(rig.mCancelled.empty());
  rig.Pass(milliseconds(400));
  CHECK(rig.mCancelled == std::vector<AttemptId>{ first[0].mAttempt });
}

TEST_CASE("At the objective a query answers with what it has")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  const std::vector<SendAction> first = rig.Open();
  rig.Answer(first[0].mAttempt);
  rig.Answer(first[1].mAttempt);
  rig.Pass(milliseconds(80));
  CHECK(rig.AnswerOf(query) == nullptr);
  rig.Pass(milliseconds(15));
  REQUIRE(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query)->mMissingParts == 2);
  CHECK(rig.AnswerOf(query)->mSummary.mMissingServices.size() == 5);
}

TEST_CASE("The time for connecting counts once against the objective")
{
  // The time left that a caller states already excludes the time for
  // connecting. Subtracting it again cut queries of 50 ms 6 ms too early.
  ForwardRig rig;
  rig.ListAll();
  const auto answeredAfter = [&](std::optional<Duration> aTimeout) {
    const RequestNumber query =
      rig.Submit("/gather/1", aTimeout, milliseconds(6));
    const std::vector<SendAction> open = rig.Open();
    rig.Answer(open[open.size() - 4].mAttempt);
    rig.Answer(open[open.size() - 3].mAttempt);
    rig.Pass(milliseconds(120));
    return rig.AnswerOf(query)->mSummary.mElapsed;
  };
  const Duration reference = answeredAfter(milliseconds(1500));
  CHECK(answeredAfter(milliseconds(1494)) == reference - milliseconds(6));
  CHECK(answeredAfter(std::nullopt) == reference - milliseconds(6));
}

TEST_CASE("Below the least coverage a query waits beyond the objective")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  const std::vector<SendAction> first = rig.Open();
  rig.Answer(first[0].mAttempt);
  rig.Pass(milliseconds(200));
  CHECK(rig.AnswerOf(query) == nullptr);
  rig.Answer(first[1].mAttempt);
  REQUIRE(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query)->mMissingParts == 2);
}

TEST_CASE("Coverage before latency: a query waits for the complete answer")
{
  ForwardSettings settings = ForwardRig::Defaults();
  settings.mPartialAnswers = PartialAnswers::WhenMissingShardsFailed;
  ForwardRig rig(4, 0.5, settings);
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  const std::vector<SendAction> first = rig.Open();
  for (std::size_t i = 0; i < 3; ++i) {
    rig.Answer(first[i].mAttempt);
  }
  rig.Pass(milliseconds(500));
  CHECK(rig.AnswerOf(query) == nullptr);
  rig.Answer(first[3].mAttempt);
  REQUIRE(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query)->mMissingParts == 0);
}

TEST_CASE("Too few shards can answer: refused at once with a retry delay")
{
  ForwardRig rig;
  rig.ListTarget("s0-0", "s0");
  const RequestNumber query = rig.Submit("/gather/1");
  const RefusedOutcome* refused = rig.OutcomeOf<RefusedOutcome>(query);
  REQUIRE(refused != nullptr);
  CHECK(refused->mReason == RefusalReason::NoTarget);
  CHECK(refused->mRetryAfter > Duration(0));
  CHECK(rig.mSent.empty());
}

TEST_CASE("A query that fails after parts have run is failed, not refused")
{
  ForwardRig rig(4, 1.0);
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  const std::vector<SendAction> first = rig.Open();
  rig.Answer(first[0].mAttempt);
  rig.Break(first[1].mAttempt, AttemptFailure::ConnectionLost);
  rig.Break(rig.mSent[4].mAttempt, AttemptFailure::ConnectionLost);
  const FailedOutcome* failed = rig.OutcomeOf<FailedOutcome>(query);
  REQUIRE(failed != nullptr);
  CHECK(failed->mReason == FailureReason::AttemptsFailed);
}

TEST_CASE("A request that must not run twice is not sent again once it may "
          "have run")
{
  for (const AttemptFailure failure : { AttemptFailure::ConnectionLost,
                                        AttemptFailure::MalformedResponse,
                                        AttemptFailure::TimedOut }) {
    ForwardRig rig;
    rig.ListAll();
    const RequestNumber request = rig.Submit("/once/1");
    rig.Break(rig.mSent[0].mAttempt, failure);
    CHECK(rig.mSent.size() == 1);
    CHECK(rig.OutcomeOf<FailedOutcome>(request) != nullptr);
  }
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber request = rig.Submit("/once/1");
  rig.Pass(milliseconds(90));
  CHECK(rig.mSent.size() == 1);
  rig.FailSigned(rig.mSent[0].mAttempt);
  CHECK(rig.mSent.size() == 1);
  REQUIRE(rig.OutcomeOf<RelayedOutcome>(request) != nullptr);
  CHECK(rig.OutcomeOf<RelayedOutcome>(request)->mReply.mStatus == 500);
}

// Guards against a caller that sends a booking again, and has it run twice,
// because a target that had run it failed with 503.
TEST_CASE("A failure after the work is not told as a request that has not run")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber once = rig.Submit("/once/1");
  rig.FailSignedAsNotRun(rig.mSent[0].mAttempt);
  CHECK(rig.mSent.size() == 1);
  CHECK(rig.OutcomeOf<FailedOutcome>(once) != nullptr);
  // What may run twice gets another target, and then the answer as it is.
  const RequestNumber single = rig.Submit("/single/1");
  rig.FailSignedAsNotRun(rig.mSent[1].mAttempt);
  REQUIRE(rig.mSent.size() == 3);
  rig.FailSignedAsNotRun(rig.mSent[2].mAttempt);
  REQUIRE(rig.OutcomeOf<RelayedOutcome>(single) != nullptr);
  CHECK(rig.OutcomeOf<RelayedOutcome>(single)->mReply.mStatus == 503);
}

TEST_CASE("A request that did not run goes to another target, then is "
          "refused truthfully")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber request = rig.Submit("/once/1");
  rig.Decline(rig.mSent[0].mAttempt);
  REQUIRE(rig.mSent.size() == 2);
  CHECK(rig.mSent[0].mTarget != rig.mSent[1].mTarget);
  SUBCASE("answered")
  {
    rig.Answer(rig.mSent[1].mAttempt);
    CHECK(rig.OutcomeOf<RelayedOutcome>(request) != nullptr);
  }
  SUBCASE("refused")
  {
    rig.Break(rig.mSent[1].mAttempt, AttemptFailure::NotSent);
    REQUIRE(rig.OutcomeOf<RefusedOutcome>(request) != nullptr);
    CHECK(rig.mSent.size() == 2);
  }
  SUBCASE("may have run")
  {
    rig.Break(rig.mSent[1].mAttempt, AttemptFailure::ConnectionLost);
    CHECK(rig.OutcomeOf<FailedOutcome>(request) != nullptr);
  }
}

TEST_CASE("A caller that leaves stops the work on what may be repeated")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  rig.Take(rig.mEngine.OnCallerDisconnected(query, rig.mNow));
  CHECK(rig.mCancelled.size() == 4);
  CHECK(rig.mEngine.RunningRequests() == 0);
  CHECK(!rig.mEngine.NextWake().has_value());
  const RequestNumber once = rig.Submit("/once/1");
  rig.Take(rig.mEngine.OnCallerDisconnected(once, rig.mNow));
  CHECK(rig.mCancelled.size() == 4);
  rig.Answer(rig.mSent.back().mAttempt);
  CHECK(rig.AnswerOf(once) == nullptr);
}

TEST_CASE("Draining and closed targets get nothing new")
{
  ForwardRig rig;
  rig.ListTarget("single-0", "single", TargetAvailability::Draining);
  rig.ListTarget("single-1", "single");
  for (int i = 0; i < 3; ++i) {
    rig.Submit("/single/1");
  }
  for (const SendAction& send : rig.mSent) {
    CHECK(send.mTarget == TargetName("single-1"));
  }
  rig.mEngine.SetAdmissionFilter(
    [](const ListedTarget&, const CallerId&) { return false; });
  CHECK(rig.OutcomeOf<RefusedOutcome>(rig.Submit("/single/1")) != nullptr);
}

TEST_CASE("The time that targets get shrinks and ends before the caller's")
{
  ForwardRig rig;
  rig.ListAll();
  rig.Submit("/single/1", milliseconds(300));
  CHECK(rig.mSent[0].mTimeLeft < milliseconds(300));
  rig.Pass(milliseconds(60));
  REQUIRE(rig.mSent.size() == 2);
  CHECK(rig.mSent[1].mTimeLeft + milliseconds(30) < rig.mSent[0].mTimeLeft);
}

TEST_CASE("A request that is declined after its time is not sent again")
{
  // A node that was stalled may read the result before it handles the timer
  // that ends the request.
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber request = rig.Submit("/once/1", milliseconds(100));
  rig.mNow += milliseconds(150);
  rig.Decline(rig.mSent[0].mAttempt);
  CHECK(rig.mSent.size() == 1);
  CHECK(rig.OutcomeOf<RefusedOutcome>(request) != nullptr);
}

TEST_CASE("The operator's limit answers a request that nobody answers")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber request = rig.Submit("/once/1", seconds(60));
  rig.Pass(milliseconds(1500));
  REQUIRE(rig.OutcomeOf<FailedOutcome>(request) != nullptr);
  CHECK(rig.OutcomeOf<FailedOutcome>(request)->mReason ==
        FailureReason::DeadlinePassed);
  CHECK(rig.AnswerOf(request)->mSummary.mElapsed <= milliseconds(1500));
}

TEST_CASE("A burst beyond the connections waits a little and is then refused")
{
  ForwardRig rig;
  rig.ListTarget("once-0", "once");
  rig.mEngine.SetNodes(std::vector<NodeName>(8, NodeName("n")), NodeName("n"));
  std::vector<RequestNumber> requests;
  for (int i = 0; i < 10; ++i) {
    requests.push_back(rig.Submit("/once/1"));
  }
  const std::size_t sent = rig.mSent.size();
  CHECK(sent < 10);
  rig.Answer(rig.mSent[0].mAttempt);
  CHECK(rig.mSent.size() == sent + 1);
  rig.Pass(milliseconds(30));
  const RefusedOutcome* refused =
    rig.OutcomeOf<RefusedOutcome>(requests.back());
  REQUIRE(refused != nullptr);
  CHECK(refused->mRetryAfter > Duration(0));
  CHECK(rig.AnswerOf(requests.back())->mSummary.mElapsed <= milliseconds(25));
}

TEST_CASE("The only target of a shard that was late is still asked")
{
  // When a zone is cut off, the targets of the other zone carry the full load.
  // They answer late, but they do answer.
  ForwardRig rig(1, 1.0);
  rig.ListTarget("s0-0", "s0");
  rig.mEngine.SetNodes(std::vector<NodeName>(8, NodeName("n")), NodeName("n"));
  for (int i = 0; i < 5; ++i) {
    const RequestNumber late = rig.Submit("/gather/1", milliseconds(150));
    rig.Pass(milliseconds(600));
    CHECK(rig.OutcomeOf<FailedOutcome>(late) != nullptr);
  }
  const RequestNumber query = rig.Submit("/gather/1");
  REQUIRE(!rig.Open().empty());
  rig.Answer(rig.Open().back().mAttempt);
  CHECK(rig.OutcomeOf<GatheredOutcome>(query) != nullptr);
}

namespace {

/// Sends the query "/gather/deadly" three times; each target that is asked is
/// lost.
void
LoseTargetsOfDeadlyQuery(ForwardRig* aRig)
{
  for (int i = 0; i < 3; ++i) {
    const RequestNumber query = aRig->Submit("/gather/deadly");
    while (aRig->AnswerOf(query) == nullptr) {
      aRig->Break(aRig->Open().front().mAttempt,
                  AttemptFailure::ConnectionLost);
    }
    aRig->Pass(seconds(3));
  }
}

} // namespace

TEST_CASE("A query that crashes its targets is refused after a few")
{
  ForwardRig rig(1, 1.0);
  for (const char* name : { "s0-0", "s0-1", "s0-2", "s0-3" }) {
    rig.ListTarget(name, "s0");
  }
  std::size_t crashes = 0;
  for (int i = 0; i < 6; ++i) {
    const RequestNumber query = rig.Submit("/gather/deadly");
    while (rig.AnswerOf(query) == nullptr) {
      REQUIRE(!rig.Open().empty());
      rig.Break(rig.Open().front().mAttempt, AttemptFailure::ConnectionLost);
      ++crashes;
    }
    rig.Pass(seconds(3));
  }
  CHECK(crashes <= 4);
  CHECK(rig.mEngine.TakePoisonObservations().size() >= 3);
  const RequestNumber harmless = rig.Submit("/gather/innocent");
  CHECK(rig.AnswerOf(harmless) == nullptr);
}

TEST_CASE("Strikes of other nodes count")
{
  ForwardRig rig(1, 1.0);
  rig.ListAll();
  ForwardRig other(1, 1.0);
  for (const char* name : { "s0-0", "s0-1", "s0-2" }) {
    other.ListTarget(name, "s0");
  }
  LoseTargetsOfDeadlyQuery(&other);
  for (const PoisonObservation& observation :
       other.mEngine.TakePoisonObservations()) {
    rig.mEngine.OnPoisonObservation(observation, rig.mNow);
  }
  const RequestNumber query = rig.Submit("/gather/deadly");
  REQUIRE(rig.OutcomeOf<RefusedOutcome>(query) != nullptr);
  CHECK(rig.OutcomeOf<RefusedOutcome>(query)->mReason ==
        RefusalReason::Poisonous);
}

// Guards against requests that come late in a planned stop and are cut when
// the process ends.
TEST_CASE("A node that is about to end answers every request before it does")
{
  ForwardRig rig;
  rig.ListAll();
  const RequestNumber running = rig.Submit("/single/1");
  const RequestNumber runningOnce = rig.Submit("/once/1");
  const Instant exit = rig.mNow + seconds(1);
  rig.Take(rig.mEngine.SetExit(exit, rig.mNow));
  // It might take longer than the process has.
  const RequestNumber once = rig.Submit("/once/2");
  const RefusedOutcome* refused = rig.OutcomeOf<RefusedOutcome>(once);
  REQUIRE(refused != nullptr);
  CHECK(refused->mReason == RefusalReason::Leaving);
  const RequestNumber shortOnce = rig.Submit("/once/3", milliseconds(400));
  CHECK(rig.AnswerOf(shortOnce) == nullptr);
  const RequestNumber single = rig.Submit("/single/2");
  const RequestNumber gather = rig.Submit("/gather/2");
  CHECK(rig.AnswerOf(single) == nullptr);
  rig.Pass(milliseconds(980));
  for (const RequestNumber number :
       { running, runningOnce, shortOnce, single, gather }) {
    CAPTURE(number.value());
    CHECK(rig.OutcomeOf<FailedOutcome>(number) != nullptr);
  }
}

// Guards against retries and hedges of a request that was admitted before it
// was known to crash targets.
TEST_CASE("A running request that turns out to crash targets is not sent again")
{
  for (const bool isLost : { true, false }) {
    CAPTURE(isLost);
    ForwardRig rig(1, 1.0);
    rig.ListAll();
    const RequestNumber query = rig.Submit("/gather/deadly");
    REQUIRE(rig.mSent.size() == 1);
    ForwardRig other(1, 1.0);
    for (const char* name : { "s0-2", "s0-3", "s0-4" }) {
      other.ListTarget(name, "s0");
    }
    LoseTargetsOfDeadlyQuery(&other);
    for (const PoisonConviction& conviction :
         other.mEngine.PoisonConvictions(other.mNow)) {
      rig.mEngine.OnPoisonConviction(conviction, rig.mNow);
    }
    if (isLost) {
      rig.Break(rig.mSent[0].mAttempt, AttemptFailure::ConnectionLost);
    } else {
      rig.Pass(milliseconds(1500));
    }
    CHECK(rig.mSent.size() == 1);
    CHECK(rig.OutcomeOf<FailedOutcome>(query) != nullptr);
  }
}

// Guards against a conviction that reaches callers whose requests are harmless,
// and against their answers clearing it.
TEST_CASE("A request that crashes targets is told apart by its caller")
{
  ForwardRig rig(1, 1.0);
  for (const char* name : { "s0-0", "s0-1", "s0-2", "s0-3" }) {
    rig.ListTarget(name, "s0");
  }
  Route otherHost = rig.mContent.mRoutes.front();
  otherHost.mName = "gather-of-other";
  otherHost.mHost = "other.example";
  rig.mContent.mRoutes.push_back(otherHost);
  rig.mContent.mVersion = PlanVersion(2);
  rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
  rig.mTenant = TenantName("alpha");
  LoseTargetsOfDeadlyQuery(&rig);
  SUBCASE("another tenant")
  {
    rig.mTenant = TenantName("beta");
  }
  SUBCASE("another host")
  {
    rig.mHost = otherHost.mHost;
  }
  const RequestNumber harmless = rig.Submit("/gather/deadly");
  REQUIRE(rig.AnswerOf(harmless) == nullptr);
  rig.Answer(rig.Open().front().mAttempt);
  CHECK(rig.OutcomeOf<GatheredOutcome>(harmless) != nullptr);
  rig.mTenant = TenantName("alpha");
  rig.mHost = ForwardRig::kHost;
  const RequestNumber deadly = rig.Submit("/gather/deadly");
  REQUIRE(rig.OutcomeOf<RefusedOutcome>(deadly) != nullptr);
  CHECK(rig.OutcomeOf<RefusedOutcome>(deadly)->mReason ==
        RefusalReason::Poisonous);
}

TEST_CASE("More nodes than connections: no target is over its cap, every "
          "node reaches every shard")
{
  // A deployment with 83 nodes and 3 targets per shard, each of which accepts
  // 64 connections.
  constexpr std::size_t kNodes = 83;
  constexpr std::size_t kMaximumConnections = 64;
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < kNodes; ++i) {
    names.emplace_back("n" + std::to_string(i));
  }
  std::map<TargetName, std::size_t> connections;
  for (const NodeName& name : names) {
    ForwardRig rig;
    rig.mContent.mVersion = PlanVersion(2);
    for (ServiceSettings& serviceSettings : rig.mContent.mServices) {
      serviceSettings.mMaximumConnections = kMaximumConnections;
    }
    rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
    rig.mEngine.SetNodes(names, name);
    for (const char* target : { "single-0", "single-1", "single-2" }) {
      rig.ListTarget(target, "single");
    }
    std::set<TargetName> used;
    for (int i = 0; i < 40; ++i) {
      rig.Submit("/single/1");
    }
    for (const SendAction& send : rig.mSent) {
      CHECK(send.mMaximumConnections == 1);
      used.insert(send.mTarget);
    }
    CHECK(used.size() == 2);
    for (const TargetName& target : used) {
      ++connections[target];
    }
  }
  CHECK(connections.size() == 3);
  for (const auto& entry : connections) {
    CHECK(entry.second <= kMaximumConnections);
  }
}

TEST_CASE("A cold target gets no more than it bears, over all nodes")
{
  // When a failure domain comes back, all of its targets are cold at the same
  // time and every node starts to send to them.
  for (const double rate : { 2.0, 5.0, 20.0 }) {
    CAPTURE(rate);
    constexpr std::size_t kNodes = 8;
    std::vector<NodeName> names;
    for (std::size_t i = 0; i < kNodes; ++i) {
      names.emplace_back("n" + std::to_string(i));
    }
    std::size_t arrivals = 0;
    for (const NodeName& name : names) {
      ForwardRig rig;
      rig.mContent.mVersion = PlanVersion(2);
      for (ServiceSettings& serviceSettings : rig.mContent.mServices) {
        serviceSettings.mColdRate = rate;
        serviceSettings.mMaximumConnections = 1000;
      }
      rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
      rig.mEngine.SetNodes(names, name);
      ListedTarget cold;
      cold.mName = TargetName("single-0");
      cold.mService = ServiceName("single");
      cold.mColdTimeLeft = seconds(5);
      rig.mEngine.Targets().List(cold, rig.mNow);
      for (int i = 0; i < 100; ++i) {
        rig.Submit("/single/1");
        rig.Pass(milliseconds(10));
        for (const SendAction& send : rig.Open()) {
          rig.Answer(send.mAttempt);
        }
      }
      arrivals += rig.mSent.size();
    }
    CHECK(static_cast<double>(arrivals) <= rate * 1.5 + 5);
    CHECK(arrivals > 0);
  }
}

// Guards against long parts that are kept whole until the query ends.
TEST_CASE("A part keeps only the records that the answer may contain")
{
  constexpr std::size_t kRecords = 4096;
  constexpr std::size_t kShards = 4;
  MemoryBudget account(
    64UL << 20U, [](const MemoryBudget::Eviction&) {}, []() {});
  ForwardRig rig(kShards);
  rig.ListAll();
  const RequestNumber query = rig.Submit("/gather/1");
  std::string records;
  for (std::size_t i = 0; i < kRecords; ++i) {
    std::string record = std::to_string(i);
    record.insert(0, kRecordBytes - record.size(), '0');
    records += record;
  }
  for (const SendAction& send : rig.Open()) {
    CHECK(rig.AnswerOf(query) == nullptr);
    PartReply reply;
    reply.mKind = ReplyKind::Answered;
    reply.mSignature = "signature";
    reply.mBody = records;
    reply.mCharge =
      std::make_shared<MemoryBudget::Charge>(&account, records.size());
    rig.Take(rig.mEngine.OnReply(send.mAttempt, std::move(reply), rig.mNow));
    CHECK(account.Held() < records.size() / 4);
  }
  CHECK(account.Held() == 0);
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(query);
  REQUIRE(outcome != nullptr);
  const std::string greatest = records.substr(records.size() - kRecordBytes);
  CHECK(outcome->mRecords == greatest + greatest);
}

// Guards against a body that is freed in the books while a connection to a
// target still sends it.
TEST_CASE("A request is charged until nobody refers to its body")
{
  MemoryBudget account(
    64UL << 20U, [](const MemoryBudget::Eviction&) {}, []() {});
  std::shared_ptr<const std::string> body;
  {
    CallerRequestPointer request = std::make_shared<const CallerRequest>();
    request = WithCharge(std::move(request), { &account, 1000 });
    body = { request, &request->mBody };
  }
  CHECK(account.Held() == 1000);
  body.reset();
  CHECK(account.Held() == 0);
}

} // namespace verbenachute
