#include "ForwardRig.h"

#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <doctest/doctest.h>

// Load pattern: targets of many shards, in several failure domains, are slow or
// paused at the same time. What crosses domains because of them goes through
// peers, in one message a domain.

namespace verbenachute {

namespace {

constexpr Duration kUsual = milliseconds(4);
constexpr Duration kSlow = milliseconds(200);

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

bool
IsIn(const std::vector<std::string>& aNames, const TargetName& aTarget)
{
  return std::find(aNames.begin(), aNames.end(), aTarget.value()) !=
         aNames.end();
}

/// Submits queries whose targets of the given names take long.
void
Teach(ForwardRig* aRig, const std::vector<std::string>& aSlowTargets)
{
  // No peer gathers meanwhile.
  aRig->mEngine.Peers().SetNodes({});
  for (int i = 0; i < 8; ++i) {
    aRig->Submit("/gather/teach" + std::to_string(i), milliseconds(1000));
    const std::vector<SendAction> sent = aRig->Open();
    aRig->Pass(kUsual);
    for (const SendAction& send : sent) {
      if (!IsIn(aSlowTargets, send.mTarget)) {
        aRig->Answer(send.mAttempt, Record('a'));
      }
    }
    aRig->Pass(kSlow - kUsual);
    while (!aRig->Open().empty()) {
      aRig->Answer(aRig->Open().front().mAttempt, Record('a'));
    }
  }
  aRig->mSent.clear();
  aRig->mEngine.Peers().SetNodes({ PeerNode{
    NodeName("peer"), FailureDomain("far"), 250, PlanVersion(1) } });
}

ForwardSettings
WithoutHedges()
{
  ForwardSettings settings = ForwardRig::Defaults();
  settings.mHedging = ForwardHedging::Never;
  return settings;
}

std::vector<std::size_t>
DelegatedTo(const ForwardRig& aRig, const std::string& aPeer)
{
  for (const DelegateAction& delegate : aRig.mDelegated) {
    if (delegate.mPeer.value() == aPeer) {
      return delegate.mDelegationRequest.mShardIndexes;
    }
  }
  return {};
}

DelegationRequest
MakeRequest(std::vector<std::size_t> aShards, DelegationUrgency aUrgency)
{
  CallerRequest request;
  request.mMethod = "GET";
  request.mTarget = "/gather/delegated";
  request.mHost = "h.example";
  return DelegationRequest{ std::make_shared<const CallerRequest>(request),
                            PlanVersion(1),
                            std::move(aShards),
                            milliseconds(500),
                            aUrgency,
                            "" };
}

/// A query of which the peer "peer" gathers the shards 2 and 3 has answers for
/// the shards 0 and 1 in this node's domain.
RequestNumber
SubmitAndAnswerOwn(ForwardRig* aRig)
{
  const RequestNumber number = aRig->Submit("/gather/1", milliseconds(1000));
  REQUIRE(aRig->Open().size() == 2);
  aRig->Answer(aRig->Open()[0].mAttempt, Record('m'));
  aRig->Answer(aRig->Open()[0].mAttempt, Record('n'));
  REQUIRE(aRig->mDelegated.size() == 1);
  return number;
}

} // namespace

TEST_CASE("Shards whose own target is slow go to a peer in one message")
{
  ForwardRig rig(6, 0.5, WithoutHedges());
  rig.ListAcrossDomains(6);
  Teach(&rig, { "s1-0", "s4-0" });
  rig.Submit("/gather/1", milliseconds(1000));
  REQUIRE(rig.mDelegated.size() == 1);
  CHECK(DelegatedTo(rig, "peer") == std::vector<std::size_t>{ 1, 4 });
  CHECK(rig.mDelegated.front().mDelegationRequest.mUrgency ==
        DelegationUrgency::IfPreferred);
  CHECK(rig.Open().size() == 4);
  for (const SendAction& send : rig.Open()) {
    CHECK(!send.mCrossesDomains);
  }
}

TEST_CASE("A peer leaves a shard whose own target is slow, and says so at once")
{
  ForwardRig rig(4, 0.5, WithoutHedges());
  rig.ListAcrossDomains(4);
  Teach(&rig, { "s1-0" });
  const RequestNumber number(900);
  rig.Take(rig.mEngine.SubmitDelegation(
    number, MakeRequest({ 1, 2 }, DelegationUrgency::IfPreferred), rig.mNow));
  REQUIRE(rig.Open().size() == 1);
  CHECK(rig.Open().front().mTarget == TargetName("s2-0"));
  REQUIRE(rig.mReports.size() == 1);
  CHECK(!rig.mReports.front().mIsFinal);
  DelegationReport report =
    std::get<DelegationReport>(rig.mReports.front().mAnswer);
  CHECK(report.mAnswered.empty());
  REQUIRE(report.mUnanswered.size() == 1);
  CHECK(report.mUnanswered.front() ==
        UnansweredShard{ 1, AttemptState::NotRun, TargetName() });
  rig.Answer(rig.Open().front().mAttempt, Record('a'));
  REQUIRE(rig.mReports.size() == 2);
  CHECK(rig.mReports.back().mIsFinal);
  report = std::get<DelegationReport>(rig.mReports.back().mAnswer);
  CHECK(report.mUnanswered.empty());
  CHECK(report.mAnswered.size() == 1);
}

TEST_CASE("A peer that is told to ask a target in any case asks a slow one")
{
  ForwardRig rig(4, 0.5, WithoutHedges());
  rig.ListAcrossDomains(4);
  Teach(&rig, { "s1-0" });
  rig.Take(
    rig.mEngine.SubmitDelegation(RequestNumber(900),
                                 MakeRequest({ 1 }, DelegationUrgency::Always),
                                 rig.mNow));
  REQUIRE(rig.Open().size() == 1);
  CHECK(rig.Open().front().mTarget == TargetName("s1-0"));
}

TEST_CASE(
  "A shard that one peer leaves goes to a peer elsewhere, and never back")
{
  // Both copies of the shard are slow: the peers would send it to each other
  // without end.
  ForwardSettings settings = WithoutHedges();
  settings.mPartialAnswers = PartialAnswers::WhenMissingShardsFailed;
  ForwardRig rig(4, 0.5, settings);
  rig.ListAcrossDomains(2);
  rig.mEngine.Peers().SetNodes(
    { PeerNode{ NodeName("peer"), FailureDomain("far"), 250, PlanVersion(1) },
      PeerNode{
        NodeName("behind"), FailureDomain("back"), 250, PlanVersion(1) } });
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  REQUIRE(rig.mDelegated.size() == 1);
  const DelegateAction first = rig.mDelegated.front();
  REQUIRE(first.mDelegationRequest.mShardIndexes.size() == 2);
  DelegationReport left;
  left.mUnanswered = { { 3, AttemptState::NotRun, TargetName() } };
  rig.Take(rig.mEngine.OnDelegationResponse(first.mDelegation, left, rig.mNow));
  REQUIRE(rig.mDelegated.size() == 2);
  const DelegateAction second = rig.mDelegated.back();
  CHECK(second.mPeer != first.mPeer);
  CHECK(second.mDelegationRequest.mShardIndexes ==
        std::vector<std::size_t>{ 3 });
  rig.Take(
    rig.mEngine.OnDelegationResponse(second.mDelegation, left, rig.mNow));
  // One of them is told to ask its target in any case.
  REQUIRE(rig.mDelegated.size() == 3);
  const DelegateAction third = rig.mDelegated.back();
  CHECK(third.mDelegationRequest.mUrgency == DelegationUrgency::Always);
  CHECK(third.mDelegationRequest.mShardIndexes ==
        std::vector<std::size_t>{ 3 });
  DelegationReport done;
  done.mAnswered = { { 2, "peer-2", Record('z') } };
  rig.Take(rig.mEngine.OnDelegationResponse(first.mDelegation, done, rig.mNow));
  SUBCASE("it does")
  {
    done.mAnswered = { { 3, "peer-3", Record('y') } };
    rig.Take(
      rig.mEngine.OnDelegationResponse(third.mDelegation, done, rig.mNow));
  }
  SUBCASE("no peer can: the shard waits, and the peers are asked again")
  {
    std::size_t told = 2;
    const auto leave = [&]() {
      for (; told < rig.mDelegated.size(); ++told) {
        rig.Take(rig.mEngine.OnDelegationResponse(
          rig.mDelegated[told].mDelegation, left, rig.mNow));
      }
    };
    leave();
    // Each peer was told so once.
    CHECK(rig.mDelegated.size() == 4);
    CHECK(rig.Open().size() == 2);
    CHECK(rig.AnswerOf(number) == nullptr);
    for (int i = 0; i < 40; ++i) {
      rig.Pass(milliseconds(10));
      leave();
    }
    // The pauses grow.
    CHECK(rig.mDelegated.size() > 4);
    CHECK(rig.mDelegated.size() <= 16);
    for (int i = 0; i < 40 && rig.mDelegated.size() == told; ++i) {
      rig.Pass(milliseconds(10));
    }
    REQUIRE(rig.mDelegated.size() > told);
    done.mAnswered = { { 3, "peer-3", Record('y') } };
    rig.Take(rig.mEngine.OnDelegationResponse(
      rig.mDelegated.back().mDelegation, done, rig.mNow));
  }
  while (!rig.Open().empty()) {
    rig.Answer(rig.Open().front().mAttempt, Record('a'));
  }
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mMissingParts == 0);
}

TEST_CASE("A hedge across domains asks a peer for the records that can still "
          "belong to the answer")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  rig.mEngine.Peers().SetNodes(
    { PeerNode{ NodeName("peer"), FailureDomain("far"), 250, PlanVersion(1) },
      PeerNode{
        NodeName("behind"), FailureDomain("back"), 250, PlanVersion(1) } });
  const RequestNumber number = SubmitAndAnswerOwn(&rig);
  const DelegateAction first = rig.mDelegated.front();
  rig.Pass(milliseconds(30));
  const std::string asked = first.mPeer == NodeName("peer") ? "s3-0" : "s3-1";
  DelegationReport report;
  report.mAnswered = { { 2, "peer-2", Record('b') } };
  report.mUnanswered = { { 3, AttemptState::Running, TargetName(asked) } };
  rig.Take(
    rig.mEngine.OnDelegationResponse(first.mDelegation, report, rig.mNow));
  REQUIRE(rig.mDelegated.size() == 2);
  const DelegateAction hedge = rig.mDelegated.back();
  CHECK(hedge.mPeer != first.mPeer);
  CHECK(hedge.mDelegationRequest.mShardIndexes ==
        std::vector<std::size_t>{ 3 });
  CHECK(hedge.mDelegationRequest.mUrgency == DelegationUrgency::Always);
  // Two records are in that are not below this one.
  CHECK(hedge.mDelegationRequest.mFloor == Record('m'));
  DelegationReport answer;
  answer.mAnswered = { { 3, "other-3", Record('o') } };
  answer.mFloor = Record('m');
  SUBCASE("the hedge answers first")
  {
    rig.Take(
      rig.mEngine.OnDelegationResponse(hedge.mDelegation, answer, rig.mNow));
  }
  SUBCASE("the first attempt answers first; the hedge changes nothing more")
  {
    DelegationReport late;
    late.mAnswered = { { 3, "peer-3", Record('o') } };
    rig.Take(
      rig.mEngine.OnDelegationResponse(first.mDelegation, late, rig.mNow));
    rig.Take(
      rig.mEngine.OnDelegationResponse(hedge.mDelegation, answer, rig.mNow));
  }
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mRecords == Record('o') + Record('n'));
  CHECK(outcome->mSignatures.size() == 4);
}

TEST_CASE("An answer that may lack a record of the result is not used")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = SubmitAndAnswerOwn(&rig);
  const DelegationNumber delegation = rig.mDelegated.front().mDelegation;
  DelegationReport report;
  report.mAnswered = { { 2, "peer-2", "" }, { 3, "peer-3", "" } };
  SUBCASE("nothing that is missing can belong to the result")
  {
    report.mFloor = Record('m');
    rig.Take(rig.mEngine.OnDelegationResponse(delegation, report, rig.mNow));
    const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->mRecords == Record('n') + Record('m'));
    CHECK(rig.mSent.size() == 2);
  }
  SUBCASE("a missing record may: the shards are asked again")
  {
    report.mFloor = Record('z');
    rig.Take(rig.mEngine.OnDelegationResponse(delegation, report, rig.mNow));
    CHECK(rig.AnswerOf(number) == nullptr);
    REQUIRE(rig.Open().size() == 2);
    CHECK(rig.Open().front().mPurpose == AttemptPurpose::Retry);
    rig.Answer(rig.Open()[0].mAttempt, Record('x'));
    rig.Answer(rig.Open()[0].mAttempt, Record('w'));
    const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->mRecords == Record('x') + Record('w'));
    CHECK(outcome->mMissingParts == 0);
  }
}

TEST_CASE("A delegation of one shard does not take a crash for its request's "
          "doing")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(4);
  const auto loseTargets = [&](std::vector<std::size_t> aShards) {
    rig.Take(rig.mEngine.SubmitDelegation(
      RequestNumber(900 + aShards.size()),
      MakeRequest(aShards, DelegationUrgency::IfPreferred),
      rig.mNow));
    while (!rig.Open().empty()) {
      rig.Break(rig.Open().front().mAttempt, AttemptFailure::ConnectionLost);
    }
    return rig.mEngine.TakePoisonObservations().size();
  };
  CHECK(loseTargets({ 1 }) == 0);
  CHECK(loseTargets({ 2, 3 }) == 2);
}

} // namespace verbenachute
