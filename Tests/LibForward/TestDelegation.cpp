#include "ForwardRig.h"

#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <set>

namespace verbenachute {

namespace {

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

/// A report in which each shard has one of the records, as far as there are
/// enough; the last shard has the rest.
DelegationReport
AnsweredReport(const std::vector<std::size_t>& aShards,
               const std::string& aRecords)
{
  DelegationReport report;
  std::size_t offset = 0;
  for (const std::size_t shard : aShards) {
    const bool isLast = shard == aShards.back();
    const std::string records =
      offset < aRecords.size()
        ? aRecords.substr(offset, isLast ? std::string::npos : kRecordBytes)
        : "";
    offset += records.size();
    report.mAnswered.push_back(
      AnsweredShard{ shard, "peer-" + std::to_string(shard), records });
  }
  return report;
}

/// The records of all shards of a report, in the order of the shards.
std::string
RecordsOf(const DelegationReport& aReport)
{
  std::string records;
  for (const AnsweredShard& answered : aReport.mAnswered) {
    records += answered.mRecords;
  }
  return records;
}

/// A delegation of another node for a path of the rig.
DelegationRequest
MakeRequest(std::vector<std::size_t> aShards,
            const std::string& aPath = "/gather/1")
{
  CallerRequest request;
  request.mMethod = "GET";
  request.mTarget = aPath;
  request.mHost = "h.example";
  return DelegationRequest{ std::make_shared<const CallerRequest>(request),
                            PlanVersion(1),
                            std::move(aShards),
                            milliseconds(500),
                            DelegationUrgency::IfPreferred,
                            "" };
}

void
DeliverResponse(ForwardRig* aRig,
                DelegationNumber aNumber,
                const DelegationResponse& aResponse)
{
  aRig->Take(
    aRig->mEngine.OnDelegationResponse(aNumber, aResponse, aRig->mNow));
}

void
FailDelegation(ForwardRig* aRig,
               DelegationNumber aNumber,
               AttemptFailure aFailure)
{
  aRig->Take(aRig->mEngine.OnDelegationFailure(aNumber, aFailure, aRig->mNow));
}

std::size_t
SendsTo(const ForwardRig& aRig, const std::string& aTarget)
{
  return static_cast<std::size_t>(std::count_if(
    aRig.mSent.begin(), aRig.mSent.end(), [&](const SendAction& aSend) {
      return aSend.mTarget.value() == aTarget;
    }));
}

} // namespace

TEST_CASE("Shards that no own target holds go to a peer in one message")
{
  ForwardRig rig(4, 0.5);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  CHECK(rig.Open().size() == 2);
  REQUIRE(rig.mDelegated.size() == 1);
  const DelegateAction& delegate = rig.mDelegated.front();
  CHECK(delegate.mPeer == NodeName("peer"));
  CHECK(delegate.mDelegationRequest.mShardIndexes ==
        std::vector<std::size_t>{ 2, 3 });
  CHECK(delegate.mDelegationRequest.mPlan == PlanVersion(1));
  CHECK(delegate.mDelegationRequest.mTimeLeft < milliseconds(1000));
  rig.Answer(rig.Open()[0].mAttempt, Record('b'));
  rig.Answer(rig.Open()[0].mAttempt, Record('z'));
  DeliverResponse(&rig,
                  delegate.mDelegation,
                  AnsweredReport({ 2, 3 }, Record('y') + Record('c')));
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mRecords == Record('z') + Record('y'));
  CHECK(outcome->mMissingParts == 0);
  CHECK(outcome->mSignatures.size() == 4);
  CHECK(rig.mCancelledDelegations.empty());
  CHECK(rig.mEngine.RunningRequests() == 0);
}

TEST_CASE("Without a peer that knows the plan all targets are asked directly")
{
  ForwardRig rig(4, 0.5);
  rig.ListAcrossDomains(2);
  rig.mEngine.Peers().SetNodes({ PeerNode{
    NodeName("peer"), FailureDomain("far"), 250, PlanVersion(0) } });
  rig.Submit("/gather/1");
  CHECK(rig.mDelegated.empty());
  CHECK(rig.Open().size() == 4);
}

TEST_CASE("The baseline asks all targets directly")
{
  ForwardSettings settings = ForwardRig::Defaults();
  settings.mGathering = ShardGathering::Direct;
  ForwardRig rig(4, 0.5, settings);
  rig.ListAcrossDomains(2);
  rig.Submit("/gather/1");
  CHECK(rig.mDelegated.empty());
  CHECK(rig.Open().size() == 4);
}

TEST_CASE("A peer that refuses has run nothing: its shards start anew without "
          "using the budget")
{
  ForwardSettings settings = ForwardRig::Defaults();
  settings.mBudgetLimits = AttemptBudgetLimits{ 0, 0, seconds(10) };
  ForwardRig rig(4, 1, settings);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1");
  const DelegationNumber delegation = rig.mDelegated.front().mDelegation;
  SUBCASE("refused")
  {
    DeliverResponse(
      &rig, delegation, DelegationRefusal{ RefusalReason::Overloaded });
  }
  SUBCASE("not sent")
  {
    FailDelegation(&rig, delegation, AttemptFailure::NotSent);
  }
  CHECK(rig.Open().size() == 4);
  while (!rig.Open().empty()) {
    rig.Answer(rig.Open().front().mAttempt, Record('a'));
  }
  CHECK(rig.OutcomeOf<GatheredOutcome>(number) != nullptr);
}

TEST_CASE("A silent peer costs its shards no more than a hedge")
{
  // A peer freezes under normal query load: its shards are asked elsewhere once
  // its first report is overdue.
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  rig.Answer(rig.Open()[0].mAttempt, Record('a'));
  rig.Answer(rig.Open()[0].mAttempt, Record('b'));
  rig.Pass(milliseconds(56));
  REQUIRE(rig.Open().size() == 2);
  // The peer may have asked the targets of its own domain; others are asked.
  CHECK(SendsTo(rig, "s2-1") == 1);
  CHECK(SendsTo(rig, "s3-1") == 1);
  rig.Answer(rig.Open()[0].mAttempt, Record('c'));
  rig.Answer(rig.Open()[0].mAttempt, Record('d'));
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mMissingParts == 0);
  REQUIRE(rig.mCancelledDelegations.size() == 1);
  CHECK(rig.mCancelledDelegations.front().mReason == CancelReason::Completed);
  // The next query does not wait for that peer at all.
  rig.Submit("/gather/2", milliseconds(1000));
  CHECK(rig.mDelegated.size() == 1);
  CHECK(rig.Open().size() == 4);
}

TEST_CASE("The first report of a peer names what is late, and only that is "
          "asked elsewhere")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  rig.Answer(rig.Open()[0].mAttempt, Record('a'));
  rig.Answer(rig.Open()[0].mAttempt, Record('b'));
  rig.Pass(milliseconds(30));
  const DelegationNumber delegation = rig.mDelegated.front().mDelegation;
  DelegationReport report = AnsweredReport({ 2 }, Record('y'));
  report.mUnanswered.push_back(
    UnansweredShard{ 3, AttemptState::Running, TargetName("s3-1") });
  DeliverResponse(&rig, delegation, report);
  REQUIRE(rig.Open().size() == 1);
  // Not the target that the peer has already asked.
  CHECK(rig.Open().front().mTarget == TargetName("s3-0"));
  SUBCASE("the second target answers first")
  {
    rig.Answer(rig.Open().front().mAttempt, Record('x'));
    CHECK(rig.OutcomeOf<GatheredOutcome>(number) != nullptr);
    CHECK(rig.mCancelledDelegations.size() == 1);
    // The late answer of the peer changes nothing.
    DeliverResponse(&rig, delegation, AnsweredReport({ 3 }, Record('x')));
  }
  SUBCASE("the peer answers first")
  {
    DeliverResponse(&rig, delegation, AnsweredReport({ 3 }, Record('x')));
    const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
    REQUIRE(outcome != nullptr);
    CHECK(outcome->mSignatures.size() == 4);
    CHECK(rig.mCancelledDelegations.empty());
  }
}

TEST_CASE("No signature stands twice when both ways answer")
{
  // A peer that was silent for a moment reports shards that this node has got
  // from other targets meanwhile. The first answer of a shard counts.
  ForwardRig rig(5, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  rig.Pass(milliseconds(56));
  for (const SendAction& send : rig.Open()) {
    if (send.mTarget == TargetName("s2-1")) {
      rig.Answer(send.mAttempt, Record('q'));
    }
  }
  DeliverResponse(&rig,
                  rig.mDelegated.front().mDelegation,
                  AnsweredReport({ 2, 3, 4 }, Record('z') + Record('y')));
  while (!rig.Open().empty()) {
    rig.Answer(rig.Open().front().mAttempt, Record('a'));
  }
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  const std::set<std::string> distinct(outcome->mSignatures.begin(),
                                       outcome->mSignatures.end());
  CHECK(distinct.size() == 5);
  CHECK(outcome->mSignatures.size() == 5);
  CHECK(!distinct.contains("peer-2"));
  CHECK(distinct.contains("peer-3"));
  // The record of the second answer of shard 2 is not among them.
  CHECK(outcome->mRecords == Record('y') + Record('q'));
}

TEST_CASE("Reports that claim what was not asked change nothing")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  DelegationReport report;
  SUBCASE("a shard that was not delegated")
  {
    report = AnsweredReport({ 0, 2 }, Record('z'));
  }
  SUBCASE("a shard that does not exist")
  {
    report = AnsweredReport({ 2, 40 }, Record('z'));
  }
  SUBCASE("a shard twice")
  {
    report = AnsweredReport({ 2, 2 }, Record('z'));
  }
  SUBCASE("more records than the answer holds")
  {
    report = AnsweredReport({ 2, 3 }, Record('z') + Record('z') + Record('z'));
  }
  SUBCASE("half a record")
  {
    report = AnsweredReport({ 2, 3 }, "half");
  }
  SUBCASE("a floor that is no record")
  {
    report = AnsweredReport({ 2, 3 }, Record('z'));
    report.mFloor = "half";
  }
  SUBCASE("no signature")
  {
    report = AnsweredReport({ 2, 3 }, Record('z'));
    report.mAnswered.back().mSignature.clear();
  }
  DeliverResponse(&rig, rig.mDelegated.front().mDelegation, report);
  CHECK(rig.mCancelledDelegations.size() == 1);
  while (!rig.Open().empty()) {
    rig.Answer(rig.Open().front().mAttempt, Record('a'));
  }
  const GatheredOutcome* outcome = rig.OutcomeOf<GatheredOutcome>(number);
  REQUIRE(outcome != nullptr);
  CHECK(outcome->mRecords == Record('a') + Record('a'));
}

TEST_CASE("A caller that leaves is told to the peer")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(2);
  const RequestNumber number = rig.Submit("/gather/1", milliseconds(1000));
  rig.Take(rig.mEngine.OnCallerDisconnected(number, rig.mNow));
  REQUIRE(rig.mCancelledDelegations.size() == 1);
  CHECK(rig.mCancelledDelegations.front().mReason ==
        CancelReason::CallerDisconnected);
}

TEST_CASE("A peer asks one target of each shard, once")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(4);
  const RequestNumber number(900);
  rig.Take(
    rig.mEngine.SubmitDelegation(number, MakeRequest({ 1, 3 }), rig.mNow));
  REQUIRE(rig.Open().size() == 2);
  CHECK(rig.mDelegated.empty());
  SUBCASE("all answer in time: one report")
  {
    rig.Answer(rig.Open()[0].mAttempt, Record('a') + Record('d'));
    CHECK(rig.mReports.empty());
    rig.Answer(rig.Open()[0].mAttempt, Record('c') + Record('b'));
    REQUIRE(rig.mReports.size() == 1);
    const DelegationReport& report =
      std::get<DelegationReport>(rig.mReports.front().mAnswer);
    // The other two records are below the greatest two.
    REQUIRE(report.mAnswered.size() == 2);
    CHECK(report.mAnswered[0].mRecords == Record('d'));
    CHECK(report.mAnswered[1].mRecords == Record('c'));
    CHECK(report.mFloor == Record('c'));
    CHECK(rig.mReports.front().mIsFinal);
    CHECK(rig.mEngine.RunningRequests() == 0);
  }
  SUBCASE("a late shard comes by itself")
  {
    rig.Answer(rig.Open()[0].mAttempt, Record('a'));
    rig.Pass(milliseconds(46));
    REQUIRE(rig.mReports.size() == 1);
    CHECK(!rig.mReports.front().mIsFinal);
    const DelegationReport& first =
      std::get<DelegationReport>(rig.mReports.front().mAnswer);
    REQUIRE(first.mUnanswered.size() == 1);
    CHECK(first.mUnanswered.front().mState == AttemptState::Running);
    CHECK(!first.mUnanswered.front().mTarget.value().empty());
    // The peer sends no hedge.
    CHECK(rig.mSent.size() == 2);
    rig.Answer(rig.Open()[0].mAttempt, Record('b'));
    REQUIRE(rig.mReports.size() == 2);
    CHECK(rig.mReports.back().mIsFinal);
    CHECK(RecordsOf(std::get<DelegationReport>(rig.mReports.back().mAnswer)) ==
          Record('b'));
  }
  SUBCASE("a shard whose target declines is told, not tried again")
  {
    rig.Decline(rig.Open()[0].mAttempt);
    rig.Break(rig.Open()[0].mAttempt, AttemptFailure::ConnectionLost);
    CHECK(rig.mSent.size() == 2);
    REQUIRE(rig.mReports.size() == 1);
    const DelegationReport& report =
      std::get<DelegationReport>(rig.mReports.front().mAnswer);
    REQUIRE(report.mUnanswered.size() == 2);
    CHECK(report.mUnanswered[0].mState == AttemptState::NotRun);
    CHECK(report.mUnanswered[1].mState == AttemptState::Failed);
  }
  SUBCASE("recalled because the caller has gone: attempts end at once")
  {
    rig.Take(rig.mEngine.OnDelegationCancelled(
      number, CancelReason::CallerDisconnected, rig.mNow));
    CHECK(rig.mCancelled.size() == 2);
    CHECK(rig.mEngine.RunningRequests() == 0);
  }
  SUBCASE("recalled because it is settled: attempts end within 300 ms")
  {
    rig.Take(rig.mEngine.OnDelegationCancelled(
      number, CancelReason::Completed, rig.mNow));
    CHECK(rig.mCancelled.empty());
    rig.Pass(milliseconds(301));
    CHECK(rig.mCancelled.size() == 2);
    CHECK(rig.mReports.empty());
  }
  SUBCASE("nothing outlives the deadline")
  {
    rig.Pass(milliseconds(1000));
    CHECK(rig.mEngine.RunningRequests() == 0);
    CHECK(rig.mReports.back().mIsFinal);
    CHECK(rig.mCancelled.size() == 2);
  }
}

TEST_CASE("A peer refuses what it can not gather")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(4);
  DelegationRequest request = MakeRequest({ 1 });
  RefusalReason reason = RefusalReason::NoPlan;
  SUBCASE("another plan")
  {
    request.mPlan = PlanVersion(7);
  }
  SUBCASE("no such shard")
  {
    request.mShardIndexes = { 4 };
  }
  SUBCASE("no shards")
  {
    request.mShardIndexes = {};
  }
  SUBCASE("not a query over shards")
  {
    request = MakeRequest({ 1 }, "/single/1");
  }
  SUBCASE("no such route")
  {
    request = MakeRequest({ 1 }, "/elsewhere/1");
  }
  SUBCASE("no time")
  {
    request.mTimeLeft = Duration(0);
    reason = RefusalReason::TooLate;
  }
  rig.Take(rig.mEngine.SubmitDelegation(RequestNumber(900), request, rig.mNow));
  CHECK(rig.mSent.empty());
  REQUIRE(rig.mReports.size() == 1);
  CHECK(std::get<DelegationRefusal>(rig.mReports.front().mAnswer).mReason ==
        reason);
  CHECK(rig.mReports.front().mIsFinal);
}

TEST_CASE("A peer still gathers by the previous plan")
{
  ForwardRig rig(4, 1);
  rig.ListAcrossDomains(4);
  rig.mContent.mVersion = PlanVersion(2);
  rig.mEngine.SetPlan(std::make_shared<const ServingPlan>(rig.mContent));
  rig.Take(rig.mEngine.SubmitDelegation(
    RequestNumber(900), MakeRequest({ 1 }), rig.mNow));
  CHECK(rig.Open().size() == 1);
}

} // namespace verbenachute
