#include "GateFixture.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

namespace {

/// How far the sub-query under test has come when the fault strikes.
enum class Stage
{
  Queued,
  Sent,
  Cancelling,
  Abandoned,
};
constexpr Stage kStages[] = { Stage::Queued,
                              Stage::Sent,
                              Stage::Cancelling,
                              Stage::Abandoned };

enum class Target
{
  /// Replies to whatever is left after the fault.
  Replies,
  Silent,
};

using Sent = std::vector<DispatchId>;

struct Row
{
  const char* mFault;
  /// What becomes of the sub-query, by stage: A answered, N not run, U outcome
  /// unknown, R ran without a result.
  const char* mExpected;
  Target mTarget;
  /// Strikes at everything that has been sent so far.
  void (*mStrike)(GateFixture&, const Sent&);
};

void
ReplyAll(GateFixture& aFixture, const Sent& aSent, TargetVerdict aVerdict)
{
  for (const DispatchId id : aSent) {
    aFixture.Reply(id, aVerdict);
  }
}

// The kill of the node that runs the query is the loss of its answer, which
// changes nothing here. A killed holder keeps nothing; its successor's case is
// the cell of TestCell.cpp, as are roster changes and reordered votes.
const Row kRows[] = {
  { "none", "AARU", Target::Replies, [](GateFixture&, const Sent&) {} },
  { "cut before a connection",
    "NNNU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      for (const DispatchId id : aSent) {
        aFixture.Note(aFixture.mGate->OnConnectionFailed(id, aFixture.mNow));
      }
    } },
  { "cut back from the target",
    "NUUU",
    Target::Silent,
    [](GateFixture&, const Sent&) {} },
  { "target crash",
    "NUUU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      for (const DispatchId id : aSent) {
        aFixture.Note(aFixture.mGate->OnConnectionLost(id, aFixture.mNow));
      }
    } },
  { "freeze, lease lapse and thaw",
    "NUUU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mAuthority.mHolds = false;
      aFixture.Freeze(seconds(5));
    } },
  { "freeze and thaw with the replies first",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      aFixture.mAuthority.mHolds = false;
      aFixture.mNow += seconds(5);
      if (!aFixture.All<CancelAtTarget>().empty() && aSent.size() == 1) {
        ReplyAll(aFixture, aSent, TargetVerdict::EndedWhileRunning);
      }
      ReplyAll(aFixture, aSent, TargetVerdict::Answered);
    } },
  { "slow target, late reply",
    "NUUU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.Wait(milliseconds(501));
    } },
  { "duplicate sub-query",
    "AARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) { aFixture.Submit(1); } },
  { "duplicate reply",
    "AAAU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::Answered);
      ReplyAll(aFixture, aSent, TargetVerdict::Failed);
    } },
  { "reply to other work",
    "AARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.Reply(DispatchId(987654));
    } },
  { "lease lapse",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mAuthority.mHolds = false;
      aFixture.Note(
        aFixture.mGate->OnBucketLost(aFixture.mBucket, aFixture.mNow));
    } },
  { "hand-over",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mAuthority.mHolds = false;
      aFixture.Note(
        aFixture.mGate->OnBucketStopping(aFixture.mBucket, aFixture.mNow));
      CHECK(aFixture.Count<BucketDrained>() == 0);
    } },
  { "target sheds",
    "ANNU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::Shed);
    } },
  { "target drains",
    "NNNU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::Draining);
    } },
  { "target fails",
    "ARRU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::Failed);
    } },
  { "reply that can not be read",
    "AUUU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::Unreadable);
    } },
  { "version change at the target",
    "ANNU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      ReplyAll(aFixture, aSent, TargetVerdict::VersionNotHeld);
    } },
  { "answer from another version",
    "ARRU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent& aSent) {
      TargetReply reply;
      reply.mVerdict = TargetVerdict::Answered;
      reply.mVersion = IndexVersion(8);
      for (const DispatchId id : aSent) {
        aFixture.Note(aFixture.mGate->OnTargetReply(id, reply, aFixture.mNow));
      }
    } },
  { "domain taken out",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mConfiguration.mRevision = Revision(2);
      aFixture.mConfiguration.mTakenOut.insert(FailureDomain("caxias-a"));
      aFixture.Configure();
    } },
  { "target left alone",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mConfiguration.mRevision = Revision(2);
      aFixture.mConfiguration.mLeftAlone.insert(aFixture.mTarget);
      aFixture.Configure();
    } },
  { "configuration that this node lacks",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mAuthority.mRequired = Revision(2);
    } },
  { "target removed",
    "NARU",
    Target::Replies,
    [](GateFixture& aFixture, const Sent&) {
      aFixture.mConfiguration = FakeConfiguration();
      aFixture.mConfiguration.mRevision = Revision(2);
      aFixture.Configure();
    } },
};

void
Advance(GateFixture& aFixture, Stage aStage)
{
  if (aStage == Stage::Queued) {
    aFixture.Submit(101);
    aFixture.Submit(102);
  }
  aFixture.Submit(1);
  if (aStage == Stage::Cancelling) {
    aFixture.Note(
      aFixture.mGate->OnCancel(aFixture.mOrigin, AttemptId(1), aFixture.mNow));
  }
  if (aStage == Stage::Abandoned) {
    aFixture.Wait(milliseconds(500));
  }
}

Sent
Outstanding(const GateFixture& aFixture)
{
  Sent sent;
  for (const SendToTarget& send : aFixture.All<SendToTarget>()) {
    sent.push_back(send.mDispatch);
  }
  return sent;
}

/// The target replies to all that is sent, as one would that was asked to
/// cancel the sub-query under test.
void
LetTargetReply(GateFixture& aFixture)
{
  std::size_t replied = 0;
  while (replied < aFixture.Count<SendToTarget>()) {
    const SendToTarget send = aFixture.All<SendToTarget>()[replied++];
    bool isCancelled = false;
    for (const CancelAtTarget& cancel : aFixture.All<CancelAtTarget>()) {
      isCancelled = isCancelled || cancel.mDispatch == send.mDispatch;
    }
    aFixture.Reply(send.mDispatch,
                   isCancelled ? TargetVerdict::EndedWhileRunning
                               : TargetVerdict::Answered);
  }
}

std::string
OutcomesOf(const GateFixture& aFixture, AttemptId aAttempt)
{
  std::string outcomes;
  for (const AnswerSubQuery& answer : aFixture.All<AnswerSubQuery>()) {
    if (answer.mAnswer.mAttempt != aAttempt) {
      continue;
    }
    const SubFailure* failure =
      std::get_if<SubFailure>(&answer.mAnswer.mOutcome);
    const char letters[] = { 'N', 'U', 'R' };
    outcomes +=
      failure == nullptr ? 'A' : letters[static_cast<int>(failure->mExecution)];
  }
  return outcomes;
}

} // namespace

TEST_CASE("Each fault at each stage gives one true answer and frees the slots")
{
  for (const Row& row : kRows) {
    for (const Stage stage : kStages) {
      CAPTURE(row.mFault);
      CAPTURE(static_cast<int>(stage));
      GateFixture fixture;
      fixture.Warm();
      Advance(fixture, stage);
      row.mStrike(fixture, Outstanding(fixture));
      CHECK(fixture.Count<SendToTarget>() <= 3);
      if (row.mTarget == Target::Replies) {
        LetTargetReply(fixture);
      }
      for (int step = 0; step < 30; ++step) {
        fixture.Wait(milliseconds(100));
      }
      const std::string expected(1, row.mExpected[static_cast<int>(stage)]);
      CHECK(OutcomesOf(fixture, AttemptId(1)) == expected);
      CHECK(fixture.mGate->InHand(fixture.mBucket) == 0);
    }
  }
}

} // namespace verbenachute
