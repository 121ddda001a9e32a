#include "FakeCell.h"

#include <LibCore/SocketAddressText.h>

namespace verbenachute {

namespace {

constexpr std::uint64_t kPoison = 666;
constexpr int kFirstTarget = 100;
/// New work at a target that was taken out is a broken promise after this.
const Duration kTakenOutBound = seconds(5);

int
TargetIndex(const TargetName& aTarget)
{
  return kFirstTarget + std::stoi(aTarget.value().substr(2));
}

template<class... Handlers>
struct Overloaded : Handlers...
{
  using Handlers::operator()...;
};
template<class... Handlers>
Overloaded(Handlers...) -> Overloaded<Handlers...>;

} // namespace

FakeTarget::Key
FakeCell::KeyOf(const NodeIdentity& aHolder, DispatchId aId) const
{
  return NodeIdentityText(aHolder) + " " + std::to_string(aId.value());
}

void
FakeCell::Apply(int aNode, const LeaseActions& aActions)
{
  NodeState& node = mNodes[aNode];
  for (const LeaseAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const SendLeaseRequest& aSend) {
          const LeaseRequest request = aSend.mRequest;
          const int voter = IndexOf(aSend.mVoter);
          const Step take = [this, voter, aNode, request](NodeState& aVoter) {
            const LeaseReply reply =
              aVoter.mMachines->mVoter.OnRequest(request, Local(aVoter));
            const Step answer = [this, aNode, reply](NodeState& aHolder) {
              Machines& machines = *aHolder.mMachines;
              machines.mSteward.OnVoterEpoch(
                reply.mVoter.mName, reply.mEpoch, Local(aHolder));
              Apply(aNode, machines.mHolder.OnReply(reply, Local(aHolder)));
            };
            Send(voter, aNode, answer, mFaults.mDuplicates);
          };
          Send(aNode, voter, take, mFaults.mDuplicates);
        },
        [&](const SendLeaseRelease& aSend) {
          const LeaseRelease release = aSend.mRelease;
          const Step take = [this, release](NodeState& aVoter) {
            aVoter.mMachines->mVoter.OnRelease(release, Local(aVoter));
          };
          Send(aNode, IndexOf(aSend.mVoter), take, mFaults.mDuplicates);
        },
        [&](const BucketGained& aGained) {
          Apply(
            aNode,
            node.mMachines->mGate.OnBucketGained(aGained.mBucket, Local(node)));
          CheckHolders();
        },
        [&](const BucketStopping& aStopping) {
          Apply(aNode,
                node.mMachines->mGate.OnBucketStopping(aStopping.mBucket,
                                                       Local(node)));
        },
        [&](const BucketLost& aLost) {
          Apply(aNode,
                node.mMachines->mGate.OnBucketLost(aLost.mBucket, Local(node)));
        },
        [](const WakeHolderAt&) {} },
      action);
  }
}

void
FakeCell::Apply(int aNode, const DispatchActions& aActions)
{
  NodeState& node = mNodes[aNode];
  const NodeIdentity life = node.mIdentity;
  for (const DispatchAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const SendToTarget& aSend) { SendWork(aNode, aSend); },
        [&](const CancelAtTarget& aCancel) { CancelWork(aNode, aCancel); },
        [&](const CloseExchange& aClose) {
          for (auto& [name, target] : mTargets) {
            const FakeTarget::Key key = KeyOf(life, aClose.mDispatch);
            target.Close(life, key);
          }
        },
        [&](const AnswerSubQuery& aAnswer) { TakeAnswer(aAnswer); },
        [&](const ProbeTarget& aProbe) { ProbeOne(aNode, aProbe); },
        [](const PublishTargetState&) {},
        [&](const ReportPoison& aReport) {
          for (std::size_t to = 0; to < mNodes.size(); ++to) {
            const int other = static_cast<int>(to);
            const PoisonReport report = aReport.mReport;
            const Step take = [this, other, report](NodeState& aTo) {
              Apply(other,
                    aTo.mMachines->mGate.OnPoisonReport(report, Local(aTo)));
            };
            if (other != aNode) {
              Send(aNode, other, take, mFaults.mDuplicates);
            }
          }
        },
        [&](const CloseIdleConnections& aClose) {
          mTargets.at(aClose.mTarget).CloseIdle(life);
        },
        [&](const BucketDrained& aDrained) {
          Apply(
            aNode,
            node.mMachines->mHolder.OnDrained(aDrained.mBucket, Local(node)));
        },
        [](const WakeGateAt&) {} },
      action);
  }
}

void
FakeCell::SendWork(int aNode, const SendToTarget& aSend)
{
  const NodeState& node = mNodes[aNode];
  const NodeIdentity holder = node.mIdentity;
  // The deadline is fixed with the decision; the node may freeze before the
  // bytes leave.
  const Instant runUntil = mNow + (aSend.mRunUntil - Local(node));
  AtNode(aNode, Between(Duration(0), microseconds(300)), [=, this](NodeState&) {
    const int target = TargetIndex(aSend.mSubQuery.mTarget);
    if (IsCut(aNode, target)) {
      AtNode(aNode, milliseconds(200), [=, this](NodeState& aState) {
        Apply(aNode,
              aState.mMachines->mGate.OnConnectionFailed(aSend.mDispatch,
                                                         Local(aState)));
      });
      return;
    }
    if (mTargets.at(aSend.mSubQuery.mTarget).mStale.contains(holder)) {
      // It is written to a connection that broke while the node was paused.
      LoseConnection(aNode, holder, aSend.mDispatch);
      return;
    }
    At(Between(microseconds(200), milliseconds(2)),
       [=, this] { Arrive(aNode, holder, aSend, runUntil); });
  });
}

void
FakeCell::Arrive(int aNode,
                 const NodeIdentity& aHolder,
                 const SendToTarget& aSend,
                 Instant aRunUntil)
{
  const SubQuery& subQuery = aSend.mSubQuery;
  FakeTarget& target = mTargets.at(subQuery.mTarget);
  const FakeTarget::Key key = KeyOf(aHolder, aSend.mDispatch);
  if (target.mIsDown) {
    LoseConnection(aNode, aHolder, aSend.mDispatch);
    return;
  }
  target.Open(aHolder, key);
  if (mNow >= aRunUntil) {
    target.mRunning[key] = { aHolder, false };
    EndRun(aNode, aHolder, aSend, target.mLife, TargetVerdict::EndedBeforeRun);
    return;
  }
  const auto taken = mTakenOut.find(target.mDomain);
  if (taken != mTakenOut.end() && mNow > taken->second + kTakenOutBound) {
    Violate("work at a domain that was taken out");
  }
  const Attempt attempt(NodeIdentity{ NodeName("caller"), Incarnation(1) },
                        subQuery.mAttempt);
  const int runs = ++mRuns[attempt];
  if (runs > 1 && subQuery.mIdempotency == Idempotency::NonIdempotent) {
    Violate("a non-idempotent sub-query ran twice");
  }
  const auto answer = mAnswers.find(attempt);
  if (answer != mAnswers.end() && answer->second == Execution::NotRun) {
    Violate("a sub-query ran that was answered as not run");
  }
  const bool isPoison = subQuery.mFingerprint == Fingerprint(kPoison);
  target.Start(key, { aHolder, isPoison });
  const std::uint64_t life = target.mLife;
  if (isPoison) {
    At(Between(milliseconds(1), milliseconds(3)), [=, this] {
      FakeTarget& poisoned = mTargets.at(subQuery.mTarget);
      if (poisoned.mLife == life && poisoned.mRunning.contains(key)) {
        mPoisonCrashes.push_back(mNow);
        Crash(poisoned.mName);
      }
    });
    return;
  }
  Duration service = Between(milliseconds(1), milliseconds(4));
  if (Chance() < mFaults.mSlowRuns) {
    service = Between(milliseconds(20), seconds(2));
  }
  const bool isLate = mNow + service > aRunUntil;
  At(isLate ? aRunUntil - mNow : service, [=, this] {
    EndRun(aNode,
           aHolder,
           aSend,
           life,
           isLate ? TargetVerdict::EndedWhileRunning : TargetVerdict::Answered);
  });
}

void
FakeCell::EndRun(int aNode,
                 const NodeIdentity& aHolder,
                 const SendToTarget& aSend,
                 std::uint64_t aLife,
                 TargetVerdict aVerdict)
{
  FakeTarget& target = mTargets.at(aSend.mSubQuery.mTarget);
  const FakeTarget::Key key = KeyOf(aHolder, aSend.mDispatch);
  if (target.mLife != aLife || target.mRunning.erase(key) == 0) {
    return;
  }
  target.mAnswered += aVerdict == TargetVerdict::Answered ? 1 : 0;
  const bool isCut = IsCut(TargetIndex(target.mName), aNode) ||
                     mNodes[aNode].mIdentity != aHolder;
  if (isCut) {
    return;
  }
  target.Close(aHolder, key);
  TargetReply reply;
  reply.mVerdict = aVerdict;
  reply.mVersion = aSend.mSubQuery.mVersion;
  reply.mShard = aSend.mSubQuery.mShard;
  AtNode(aNode,
         Between(microseconds(200), milliseconds(2)),
         [=, this](NodeState& aState) {
           Apply(aNode,
                 aState.mMachines->mGate.OnTargetReply(
                   aSend.mDispatch, reply, Local(aState)));
         });
}

void
FakeCell::CancelWork(int aNode, const CancelAtTarget& aCancel)
{
  const NodeIdentity holder = mNodes[aNode].mIdentity;
  const FakeTarget::Key work = KeyOf(holder, aCancel.mDispatch);
  const FakeTarget::Key control = work + " cancel";
  FakeTarget& target = mTargets.at(aCancel.mTarget);
  target.Open(holder, control);
  At(Between(milliseconds(1), milliseconds(4)), [=, this] {
    FakeTarget& there = mTargets.at(aCancel.mTarget);
    there.Close(holder, control);
    const bool isReached = !there.mIsDown &&
                           !IsCut(aNode, TargetIndex(there.mName)) &&
                           mNodes[aNode].mIdentity == holder;
    CancelOutcome outcome = CancelOutcome::Failed;
    if (isReached) {
      outcome = there.mRunning.erase(work) > 0 ? CancelOutcome::Confirmed
                                               : CancelOutcome::NotFound;
    }
    if (mNodes[aNode].mIdentity != holder) {
      return;
    }
    AtNode(aNode, milliseconds(1), [=, this](NodeState& aState) {
      Apply(aNode,
            aState.mMachines->mGate.OnCancelOutcome(
              aCancel.mDispatch, outcome, Local(aState)));
    });
    if (outcome == CancelOutcome::Confirmed) {
      there.Close(holder, work);
      TargetReply reply;
      reply.mVerdict = TargetVerdict::EndedWhileRunning;
      AtNode(aNode, milliseconds(2), [=, this](NodeState& aState) {
        Apply(aNode,
              aState.mMachines->mGate.OnTargetReply(
                aCancel.mDispatch, reply, Local(aState)));
      });
    }
  });
}

void
FakeCell::ProbeOne(int aNode, const ProbeTarget& aProbe)
{
  const NodeIdentity holder = mNodes[aNode].mIdentity;
  const FakeTarget::Key control = NodeIdentityText(holder) + " probe";
  FakeTarget& target = mTargets.at(aProbe.mTarget);
  const int index = TargetIndex(aProbe.mTarget);
  const bool isAnswered =
    !target.mIsDown && !IsCut(aNode, index) && !IsCut(index, aNode);
  target.Open(holder, control);
  AtNode(aNode,
         isAnswered ? milliseconds(3) : aProbe.mTimeout,
         [=, this](NodeState& aState) {
           DispatchGate& gate = aState.mMachines->mGate;
           mTargets.at(aProbe.mTarget).Close(holder, control);
           Apply(aNode,
                 isAnswered
                   ? gate.OnProbeReply(aProbe.mTarget, {}, Local(aState))
                   : gate.OnProbeFailed(aProbe.mTarget, Local(aState)));
         });
}

void
FakeCell::Submit()
{
  At(Between(microseconds(500), milliseconds(4)), [this] { Submit(); });
  SubmitOne(Chance() < mFaults.mPoison);
}

void
FakeCell::SubmitOne(bool aIsPoison)
{
  SubQuery subQuery;
  subQuery.mAttempt = AttemptId(++mNextAttempt);
  subQuery.mQuery = QueryId(mNextAttempt);
  subQuery.mTarget = TargetName("t-" + std::to_string(Pick(6)));
  subQuery.mService = ServiceName("painel-doca");
  subQuery.mFingerprint =
    Fingerprint(aIsPoison ? kPoison : 1000 + static_cast<unsigned>(Pick(50)));
  subQuery.mTimeLeft = Between(milliseconds(5), milliseconds(1500));
  subQuery.mIdempotency =
    Chance() < 0.3 ? Idempotency::NonIdempotent : Idempotency::Idempotent;
  const NodeIdentity origin{ NodeName("caller"), Incarnation(1) };
  mFingerprints[Attempt(origin, subQuery.mAttempt)] = subQuery.mFingerprint;
  const FakeTarget& target = mTargets.at(subQuery.mTarget);
  const Bucket bucket = BucketOf(target.mDomain, target.mName);
  int to = Pick(static_cast<int>(mNodes.size()));
  for (int index = 0; index < static_cast<int>(mNodes.size()); ++index) {
    const NodeState* node = Awake(index);
    if (node != nullptr && Chance() < 0.95 &&
        node->mMachines->mHolder.MayDispatch(bucket, Local(*node))) {
      to = index;
    }
  }
  const bool isOnce = subQuery.mIdempotency == Idempotency::NonIdempotent;
  const Step take = [this, to, subQuery, origin](NodeState& aNode) {
    Apply(to,
          aNode.mMachines->mGate.OnSubQuery(subQuery, origin, Local(aNode)));
  };
  Send(to, to, take, isOnce ? mFaults.mDuplicates : 0);
  if (Chance() < 0.05) {
    const Step cancel = [this, to, subQuery, origin](NodeState& aNode) {
      Apply(to,
            aNode.mMachines->mGate.OnCancel(
              origin, subQuery.mAttempt, Local(aNode)));
    };
    Send(to, to, cancel, mFaults.mDuplicates);
  }
}

void
FakeCell::TakeAnswer(const AnswerSubQuery& aAnswer)
{
  const Attempt attempt(aAnswer.mOrigin, aAnswer.mAnswer.mAttempt);
  if (mAnswers.contains(attempt)) {
    Violate("a sub-query was answered twice");
  }
  const SubFailure* failure =
    std::get_if<SubFailure>(&aAnswer.mAnswer.mOutcome);
  mAnswers[attempt] = failure == nullptr ? Execution::Ran : failure->mExecution;
  mAnswered += failure == nullptr ? 1 : 0;
  if (failure != nullptr && failure->mExecution == Execution::NotRun &&
      failure->mError.mStep == verbenachute::Step::Gate &&
      mRuns.contains(attempt)) {
    Violate("not run was said of a sub-query that ran");
  }
  NoteBlame(mFingerprints.at(attempt), failure);
}

void
FakeCell::NoteBlame(Fingerprint aFingerprint, const SubFailure* aFailure)
{
  if (aFingerprint == Fingerprint(kPoison)) {
    return;
  }
  if (aFailure == nullptr) {
    mBlamedSince.erase(aFingerprint);
  } else if (aFailure->mError.mCode == ErrorCode::Poisoned) {
    const Instant since =
      mBlamedSince.emplace(aFingerprint, mNow).first->second;
    mLongestBlame = std::max(mLongestBlame, mNow - since);
  }
}

} // namespace verbenachute
