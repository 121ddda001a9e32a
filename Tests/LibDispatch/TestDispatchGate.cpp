#include "GateFixture.h"

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A sub-query is sent and its reply goes to the node that sent it")
{
  GateFixture fixture;
  fixture.Submit(1);
  REQUIRE(fixture.Count<SendToTarget>() == 1);
  fixture.mNow += milliseconds(3);
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  const AnswerSubQuery answer = fixture.Last<AnswerSubQuery>();
  CHECK(answer.mOrigin == fixture.mOrigin);
  CHECK(answer.mAnswer.mAttempt == AttemptId(1));
  CHECK(answer.mAnswer.mService == milliseconds(3));
  CHECK(std::holds_alternative<ShardResult>(answer.mAnswer.mOutcome));
}

TEST_CASE("What the gate does not send, and why")
{
  struct Row
  {
    ErrorCode mCode;
    void (*mChange)(GateFixture&, SubQuery&);
  };
  const Row rows[] = {
    { ErrorCode::NotHolder,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.mAuthority.mHolds = false;
      } },
    { ErrorCode::NotHolder,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.Note(
          aFixture.mGate->OnBucketLost(aFixture.mBucket, aFixture.mNow));
      } },
    { ErrorCode::NotFound,
      [](GateFixture&, SubQuery& aSub) { aSub.mTarget = TargetName("t-9"); } },
    { ErrorCode::Unavailable,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.mAuthority.mRequired = Revision(2);
      } },
    { ErrorCode::Forbidden,
      [](GateFixture& aFixture, SubQuery& aSub) {
        aSub.mCaller = CallerId("van-17");
        aFixture.mConfiguration.mRevision = Revision(2);
        aFixture.mConfiguration.mBarred.insert(CallerId("van-17"));
        aFixture.Configure();
      } },
    { ErrorCode::Refused,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.mConfiguration.mRevision = Revision(2);
        aFixture.mConfiguration.mTakenOut.insert(FailureDomain("caxias-a"));
        aFixture.Configure();
        // An older configuration that comes late changes nothing.
        aFixture.mConfiguration.mRevision = Revision(1);
        aFixture.mConfiguration.mTakenOut.clear();
        aFixture.Configure();
      } },
    { ErrorCode::DeadlinePassed,
      [](GateFixture&, SubQuery& aSub) { aSub.mTimeLeft = Duration(0); } },
    { ErrorCode::Poisoned,
      [](GateFixture& aFixture, SubQuery& aSub) {
        aFixture.Note(aFixture.mGate->OnPoisonReport({ aSub.mFingerprint,
                                                       1,
                                                       PoisonVerdict::Convicted,
                                                       aFixture.mOrigin,
                                                       seconds(60) },
                                                     aFixture.mNow));
      } },
    { ErrorCode::Draining,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.Submit(50);
        aFixture.Reply(aFixture.Last<SendToTarget>().mDispatch,
                       TargetVerdict::Draining);
        aFixture.mActions.clear();
      } },
    { ErrorCode::Unreachable,
      [](GateFixture& aFixture, SubQuery&) {
        aFixture.Submit(50);
        aFixture.Note(aFixture.mGate->OnConnectionFailed(
          aFixture.Last<SendToTarget>().mDispatch, aFixture.mNow));
        aFixture.mActions.clear();
      } },
  };
  for (const Row& row : rows) {
    CAPTURE(ErrorCodeName(row.mCode));
    GateFixture fixture;
    SubQuery subQuery = fixture.Make(1);
    row.mChange(fixture, subQuery);
    fixture.mActions.clear();
    fixture.Submit(subQuery);
    CHECK(fixture.Count<SendToTarget>() == 0);
    CHECK(fixture.LastFailure().mError.mCode == row.mCode);
    CHECK(fixture.LastFailure().mExecution == Execution::NotRun);
  }
}

TEST_CASE("A gate without a configuration sends nothing")
{
  FakeAuthority authority;
  DispatchGate gate({ NodeName("node-1"), Incarnation(1) }, {}, authority);
  const GateFixture fixture;
  for (const DispatchAction& action :
       gate.OnSubQuery(fixture.Make(1), fixture.mOrigin, fixture.mNow)) {
    CHECK(!std::holds_alternative<SendToTarget>(action));
  }
}

TEST_CASE("A slot is free only when the work has really ended")
{
  struct Row
  {
    const char* mName;
    void (*mEnd)(GateFixture&, DispatchId);
    Duration mKept;
  };
  const Duration kLongest = DispatchSettings().RunWithDrift();
  const Row rows[] = {
    { "a reply",
      [](GateFixture& aFixture, DispatchId aId) { aFixture.Reply(aId); },
      Duration(0) },
    { "a connection that was refused",
      [](GateFixture& aFixture, DispatchId aId) {
        aFixture.Note(aFixture.mGate->OnConnectionFailed(aId, aFixture.mNow));
      },
      Duration(0) },
    { "a lost connection",
      [](GateFixture& aFixture, DispatchId aId) {
        aFixture.Note(aFixture.mGate->OnConnectionLost(aId, aFixture.mNow));
      },
      kLongest },
    { "silence past the deadline", [](GateFixture&, DispatchId) {}, kLongest },
    { "a cancellation without an answer",
      [](GateFixture& aFixture, DispatchId) {
        aFixture.Note(aFixture.mGate->OnCancel(
          aFixture.mOrigin, AttemptId(1), aFixture.mNow));
      },
      kLongest },
    { "a cancellation of unknown work",
      [](GateFixture& aFixture, DispatchId aId) {
        aFixture.Note(aFixture.mGate->OnCancel(
          aFixture.mOrigin, AttemptId(1), aFixture.mNow));
        aFixture.Note(aFixture.mGate->OnCancelOutcome(
          aId, CancelOutcome::NotFound, aFixture.mNow));
      },
      kLongest },
    { "a confirmed cancellation",
      [](GateFixture& aFixture, DispatchId aId) {
        aFixture.Note(aFixture.mGate->OnCancel(
          aFixture.mOrigin, AttemptId(1), aFixture.mNow));
        aFixture.Note(aFixture.mGate->OnCancelOutcome(
          aId, CancelOutcome::Confirmed, aFixture.mNow));
      },
      Duration(0) },
  };
  for (const Row& row : rows) {
    CAPTURE(row.mName);
    GateFixture fixture;
    fixture.Submit(1);
    row.mEnd(fixture, fixture.Last<SendToTarget>().mDispatch);
    if (row.mKept.count() > 0) {
      fixture.Wait(row.mKept - microseconds(1));
      CHECK(fixture.mGate->InHand(fixture.mBucket) == 1);
      fixture.Wait(microseconds(1));
    }
    CHECK(fixture.mGate->InHand(fixture.mBucket) == 0);
  }
}

TEST_CASE("The target's deadline never exceeds the longest run")
{
  GateFixture fixture;
  fixture.Submit(fixture.Make(1, seconds(30)));
  const SendToTarget sent = fixture.Last<SendToTarget>();
  CHECK(sent.mRunUntil == fixture.mNow + seconds(1));
  CHECK(sent.mSubQuery.mTimeLeft == seconds(1));
}

TEST_CASE("A holder keeps to its share of the connections")
{
  struct Row
  {
    std::uint32_t mSlots;
    std::uint32_t mConnections;
    std::size_t mAtOnce;
  };
  // A fourth of the connections, less one for probes and cancellations.
  for (const Row& row : { Row{ 2, 25, 2 },
                          Row{ 6, 110, 6 },
                          Row{ 6, 16, 3 },
                          Row{ 6, 8, 1 },
                          Row{ 6, 3, 1 } }) {
    CAPTURE(row.mConnections);
    GateFixture fixture({}, row.mSlots, row.mConnections);
    fixture.Warm();
    for (std::uint64_t attempt = 1; attempt <= 10; ++attempt) {
      fixture.Submit(attempt);
    }
    CHECK(fixture.Count<SendToTarget>() == row.mAtOnce);
    fixture.Note(
      fixture.mGate->OnCancelQuery(fixture.mOrigin, QueryId(1), fixture.mNow));
    const std::size_t share = std::max(row.mConnections / 4, 1U);
    CHECK(fixture.Count<SendToTarget>() + fixture.Count<CancelAtTarget>() <=
          share);
  }
}

TEST_CASE("A full queue sheds the lowest class and serves the highest first")
{
  DispatchSettings settings;
  settings.mQueueLimit = 2;
  settings.mClassWeights = { { CallerClass("field"), 4 } };
  GateFixture fixture(settings);
  fixture.Submit(100);
  SubQuery urgent = fixture.Make(3);
  urgent.mClass = CallerClass("field");
  fixture.Submit(1);
  fixture.Submit(2);
  fixture.Submit(urgent);
  CHECK(fixture.Last<AnswerSubQuery>().mAnswer.mAttempt == AttemptId(2));
  CHECK(fixture.LastFailure().mError.mCode == ErrorCode::Overloaded);
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  CHECK(fixture.Last<SendToTarget>().mSubQuery.mAttempt == AttemptId(3));
}

TEST_CASE("A sub-query that would wait too long is refused early")
{
  GateFixture fixture;
  fixture.Submit(100);
  fixture.mNow += milliseconds(20);
  fixture.Reply(fixture.Last<SendToTarget>().mDispatch);
  fixture.Submit(101);
  fixture.Submit(fixture.Make(1, milliseconds(30)));
  CHECK(fixture.LastFailure().mError.mCode == ErrorCode::Overloaded);
  CHECK(fixture.LastFailure().mExecution == Execution::NotRun);
  fixture.mActions.clear();
  fixture.Submit(fixture.Make(2, milliseconds(50)));
  CHECK(fixture.Count<AnswerSubQuery>() == 0);
}

TEST_CASE("A non-idempotent sub-query that was refused does not run on repeat")
{
  GateFixture fixture;
  SubQuery booking = fixture.Make(1);
  booking.mIdempotency = Idempotency::NonIdempotent;
  SUBCASE("refused at its target")
  {
    fixture.mAuthority.mHolds = false;
  }
  SUBCASE("refused at a node that does not hold its bucket")
  {
    fixture.Note(fixture.mGate->OnBucketLost(fixture.mBucket, fixture.mNow));
  }
  fixture.Submit(booking);
  CHECK(fixture.LastFailure().mExecution == Execution::NotRun);
  fixture.mAuthority.mHolds = true;
  fixture.Note(fixture.mGate->OnBucketGained(fixture.mBucket, fixture.mNow));
  fixture.Submit(booking);
  CHECK(fixture.Count<SendToTarget>() == 0);
}

TEST_CASE("Targets that are left alone get no probes")
{
  GateFixture fixture;
  fixture.Wait(seconds(2));
  CHECK(fixture.Count<ProbeTarget>() == 1);
  fixture.Note(fixture.mGate->OnProbeReply(fixture.mTarget, {}, fixture.mNow));
  fixture.mConfiguration.mRevision = Revision(2);
  fixture.mConfiguration.mLeftAlone.insert(fixture.mTarget);
  fixture.Configure();
  fixture.mActions.clear();
  fixture.Wait(seconds(2));
  CHECK(fixture.Count<ProbeTarget>() == 0);
}

TEST_CASE("States are published when they change, in ascending sequence")
{
  GateFixture fixture;
  fixture.mGate->OnTargetState(
    { fixture.mTarget, TargetCondition::Ready, {}, 41 });
  fixture.Submit(1);
  fixture.Note(fixture.mGate->OnConnectionFailed(
    fixture.Last<SendToTarget>().mDispatch, fixture.mNow));
  const TargetState down = fixture.Last<PublishTargetState>().mState;
  CHECK(down.mCondition == TargetCondition::Down);
  CHECK(down.mSequence == 42);
  const std::vector<HeldVersion> versions{ { IndexVersion(8), 1, {} } };
  fixture.Note(
    fixture.mGate->OnProbeReply(fixture.mTarget, versions, fixture.mNow));
  const TargetState back = fixture.Last<PublishTargetState>().mState;
  CHECK(back.mCondition == TargetCondition::Warming);
  CHECK(back.mVersions == versions);
  CHECK(back.mSequence == 43);
}

} // namespace verbenachute
