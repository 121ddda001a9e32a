#include <LibDispatch/WorkRunner.h>

#include <LibCore/Verify.h>
#include <LibDispatch/ReplyOutcome.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

SubFailure
UnknownOutcome(const Work& aWork, ErrorCode aCode, const char* aMessage)
{
  return SubFailure{
    Error{ Step::Dispatch, aCode, aWork.mSubQuery.mTarget.value(), aMessage },
    Execution::OutcomeUnknown
  };
}

} // namespace

WorkRunner::WorkRunner(const DispatchSettings& aSettings,
                       const DispatchCheck& aCheck,
                       PoisonWatch& aPoison,
                       LaneTable& aLanes)
  : mSettings(aSettings)
  , mCheck(aCheck)
  , mPoison(aPoison)
  , mLanes(aLanes)
{
}

void
WorkRunner::Take(const SubQuery& aSubQuery,
                 const NodeIdentity& aOrigin,
                 Instant aNow,
                 DispatchActions* aActions)
{
  if (mWork.IsKnown(aOrigin, aSubQuery.mAttempt)) {
    return;
  }
  TargetLane* lane = mLanes.Find(aSubQuery.mTarget);
  if (lane == nullptr) {
    RefuseAtOnce(aSubQuery, aOrigin, aNow, aActions);
    return;
  }
  Enqueue(*lane, mWork.Insert(aSubQuery, aOrigin, aNow), aNow, aActions);
}

void
WorkRunner::OnTargetReply(DispatchId aId,
                          const TargetReply& aReply,
                          Instant aNow,
                          DispatchActions* aActions)
{
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  mLanes.JudgeReply(lane, *work, aReply, aNow);
  mPoison.OnReply(*work, aReply, aNow, aActions);
  Answer(*work, OutcomeOf(work->mSubQuery, aReply), aNow, aActions);
  lane.FreeSlot(work);
  EndExchange(lane, *work, aNow);
  Resume(lane, aNow, aActions);
}

void
WorkRunner::OnConnectionFailed(DispatchId aId,
                               Instant aNow,
                               DispatchActions* aActions)
{
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  mLanes.JudgeBrokenConnection(lane, aNow);
  Answer(*work,
         NotRunFailure(ErrorCode::Unreachable,
                       work->mSubQuery.mTarget,
                       "no connection to the target came about"),
         aNow,
         aActions);
  lane.FreeSlot(work);
  EndExchange(lane, *work, aNow);
  Resume(lane, aNow, aActions);
}

void
WorkRunner::OnConnectionLost(DispatchId aId,
                             Instant aNow,
                             DispatchActions* aActions)
{
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  if (work->mSlot == Slot::Occupied) {
    mPoison.OnLost(*work, FingerprintsAt(lane), aNow, aActions);
  }
  mLanes.JudgeBrokenConnection(lane, aNow);
  Answer(*work,
         UnknownOutcome(*work,
                        ErrorCode::TargetFailed,
                        "the connection was lost before a reply"),
         aNow,
         aActions);
  // The target may live and go on with the work, so the slot stays taken.
  mWork.SetTimer(aId, work->mSent + mSettings.RunWithDrift());
  EndExchange(lane, *work, aNow);
  Resume(lane, aNow, aActions);
}

void
WorkRunner::OnCancel(const NodeIdentity& aOrigin,
                     AttemptId aAttempt,
                     Instant aNow,
                     DispatchActions* aActions)
{
  const std::optional<DispatchId> id = mWork.FindAttempt(aOrigin, aAttempt);
  if (id) {
    Cancel(*id, aNow, aActions);
  }
}

void
WorkRunner::OnCancelQuery(const NodeIdentity& aOrigin,
                          QueryId aQuery,
                          Instant aNow,
                          DispatchActions* aActions)
{
  for (const DispatchId id : mWork.OfQuery(aOrigin, aQuery)) {
    Cancel(id, aNow, aActions);
  }
}

void
WorkRunner::OnCancelOutcome(DispatchId aId,
                            CancelOutcome aOutcome,
                            Instant aNow,
                            DispatchActions* aActions)
{
  const std::optional<TargetName> target = mCancellations.Take(aId);
  if (!target) {
    return;
  }
  TargetLane& lane = *mLanes.Find(*target);
  lane.EndControl();
  Work* work = mWork.Find(aId);
  if (work != nullptr && aOutcome == CancelOutcome::Confirmed) {
    lane.FreeSlot(work);
    if (work->mConnection != Connection::Open) {
      mWork.Erase(aId, aNow);
    }
  }
  Resume(lane, aNow, aActions);
}

void
WorkRunner::OnTimer(Instant aNow, DispatchActions* aActions)
{
  for (const DispatchId id : mWork.TakeDue(aNow)) {
    OnWorkTimer(id, aNow, aActions);
  }
}

std::optional<Instant>
WorkRunner::NextTimer() const
{
  return mWork.NextTimer();
}

void
WorkRunner::RefuseAtOnce(const SubQuery& aSubQuery,
                         const NodeIdentity& aOrigin,
                         Instant aNow,
                         DispatchActions* aActions)
{
  const ConfigurationView* configuration = mCheck.Configuration();
  const bool isRegistered =
    configuration == nullptr ||
    configuration->FindTarget(aSubQuery.mTarget) != nullptr;
  mWork.RememberRefused(aSubQuery, aOrigin, aNow);
  SubAnswer answer;
  answer.mQuery = aSubQuery.mQuery;
  answer.mAttempt = aSubQuery.mAttempt;
  answer.mOutcome = isRegistered
                      ? NotRunFailure(ErrorCode::NotHolder,
                                      aSubQuery.mTarget,
                                      "this node does not hold the target")
                      : NotRunFailure(ErrorCode::NotFound,
                                      aSubQuery.mTarget,
                                      "the target is not registered");
  aActions->emplace_back(AnswerSubQuery{ aOrigin, answer });
}

void
WorkRunner::Enqueue(TargetLane& aLane,
                    Work& aWork,
                    Instant aNow,
                    DispatchActions* aActions)
{
  std::optional<SubFailure> refusal = mCheck.Refusal(aWork, aLane, aNow);
  if (!refusal) {
    refusal = mCheck.WaitRefusal(
      aWork, aLane, mLanes.UsualService(aLane.Entry().mService));
  }
  if (refusal) {
    if (refusal->mError.mCode == ErrorCode::Poisoned) {
      mPoison.OnRefused(aWork, aNow, aActions);
    }
    RefuseQueued(aLane, aWork, *refusal, aNow, aActions);
    return;
  }
  const std::optional<DispatchId> shed =
    aLane.Queue().Push(aWork.mId, mSettings.WeightOf(aWork.mSubQuery.mClass));
  if (shed) {
    const Work& victim = *mWork.Find(*shed);
    RefuseQueued(aLane,
                 victim,
                 NotRunFailure(ErrorCode::Overloaded,
                               victim.mSubQuery.mTarget,
                               "the queue before the target is full"),
                 aNow,
                 aActions);
  }
  Pump(aLane, aNow, aActions);
}

void
WorkRunner::Pump(TargetLane& aLane, Instant aNow, DispatchActions* aActions)
{
  for (std::optional<DispatchId> first = aLane.Queue().First(); first;
       first = aLane.Queue().First()) {
    Work& work = *mWork.Find(*first);
    // Checked again, since a condition may have changed while it waited.
    const std::optional<SubFailure> refusal = mCheck.Refusal(work, aLane, aNow);
    if (refusal) {
      RefuseQueued(aLane, work, *refusal, aNow, aActions);
      continue;
    }
    const PoisonStanding standing = mPoison.StandingOf(work, aNow);
    work.mTrial =
      standing == PoisonStanding::MayBeTried ? Trial::Yes : Trial::No;
    aLane.Ramp().OnDispatch(aNow);
    if (!aLane.HasRoom(work.mTrial)) {
      return;
    }
    Send(aLane, work, aNow, aActions);
  }
}

void
WorkRunner::RefuseWhatMayNotRun(TargetLane& aLane,
                                Instant aNow,
                                DispatchActions* aActions)
{
  for (const DispatchId id : aLane.Queue().All()) {
    const Work& work = *mWork.Find(id);
    const std::optional<SubFailure> refusal = mCheck.Refusal(work, aLane, aNow);
    if (refusal) {
      RefuseQueued(aLane, work, *refusal, aNow, aActions);
    }
  }
}

void
WorkRunner::Resume(TargetLane& aLane, Instant aNow, DispatchActions* aActions)
{
  if (!aLane.Judge().TakesWork()) {
    RefuseWhatMayNotRun(aLane, aNow, aActions);
  }
  Pump(aLane, aNow, aActions);
}

void
WorkRunner::Recheck(const std::vector<TargetLane*>& aLanes,
                    Instant aNow,
                    DispatchActions* aActions)
{
  for (TargetLane* lane : aLanes) {
    RefuseWhatMayNotRun(*lane, aNow, aActions);
    Pump(*lane, aNow, aActions);
  }
}

void
WorkRunner::Send(TargetLane& aLane,
                 Work& aWork,
                 Instant aNow,
                 DispatchActions* aActions)
{
  aLane.Queue().Remove(aWork.mId);
  aWork.mPhase = WorkPhase::Running;
  aWork.mSent = aNow;
  aWork.mRunUntil = std::min(aWork.mDeadline, aNow + mSettings.mLongestRun);
  aLane.Start(&aWork);
  mPoison.OnSent(aWork);
  mWork.SetTimer(aWork.mId, aWork.mRunUntil);
  SubQuery sent = aWork.mSubQuery;
  sent.mTimeLeft = aWork.mRunUntil - aNow;
  aActions->emplace_back(SendToTarget{
    aWork.mId, aLane.Entry().mAddress, std::move(sent), aWork.mRunUntil });
}

void
WorkRunner::RefuseQueued(TargetLane& aLane,
                         const Work& aWork,
                         const SubFailure& aFailure,
                         Instant aNow,
                         DispatchActions* aActions)
{
  VERIFY(aWork.mPhase == WorkPhase::Queued);
  const DispatchId id = aWork.mId;
  aLane.Queue().Remove(id);
  Answer(*mWork.Find(id), aFailure, aNow, aActions);
  mWork.Erase(id, aNow);
}

void
WorkRunner::Answer(Work& aWork,
                   std::variant<ShardResult, SubFailure> aOutcome,
                   Instant aNow,
                   DispatchActions* aActions) const
{
  if (aWork.mPhase == WorkPhase::Abandoned) {
    return;
  }
  SubAnswer answer;
  answer.mQuery = aWork.mSubQuery.mQuery;
  answer.mAttempt = aWork.mSubQuery.mAttempt;
  answer.mOutcome = std::move(aOutcome);
  if (aWork.mPhase == WorkPhase::Queued) {
    answer.mQueued = aNow - aWork.mArrival;
  } else {
    answer.mQueued = aWork.mSent - aWork.mArrival;
    answer.mService = aNow - aWork.mSent;
  }
  aWork.mPhase = WorkPhase::Abandoned;
  aActions->emplace_back(AnswerSubQuery{ aWork.mOrigin, std::move(answer) });
}

void
WorkRunner::EndExchange(TargetLane& aLane, Work& aWork, Instant aNow)
{
  VERIFY(aWork.mPhase == WorkPhase::Abandoned);
  aLane.FreeConnection(&aWork);
  if (aWork.mSlot == Slot::Occupied) {
    return;
  }
  mPoison.OnEnded(aWork);
  mWork.Erase(aWork.mId, aNow);
}

std::set<Fingerprint>
WorkRunner::FingerprintsAt(const TargetLane& aLane) const
{
  std::set<Fingerprint> running;
  for (const DispatchId id : aLane.Running()) {
    const Work& work = *mWork.Find(id);
    if (work.mConnection == Connection::Open) {
      running.insert(work.mSubQuery.mFingerprint);
    }
  }
  return running;
}

void
WorkRunner::Cancel(DispatchId aId, Instant aNow, DispatchActions* aActions)
{
  Work& work = *mWork.Find(aId);
  TargetLane& lane = *mLanes.Find(work.mSubQuery.mTarget);
  if (work.mPhase == WorkPhase::Queued) {
    RefuseQueued(lane,
                 work,
                 NotRunFailure(ErrorCode::Cancelled,
                               work.mSubQuery.mTarget,
                               "cancelled before it was sent"),
                 aNow,
                 aActions);
    return;
  }
  // The answer waits for the target, which knows whether the work has run.
  mCancellations.Ask(lane, work, aActions);
}

void
WorkRunner::OnWorkTimer(DispatchId aId, Instant aNow, DispatchActions* aActions)
{
  Work* found = mWork.Find(aId);
  if (found == nullptr) {
    // It was refused together with another one.
    return;
  }
  Work& work = *found;
  TargetLane& lane = *mLanes.Find(work.mSubQuery.mTarget);
  switch (work.mPhase) {
    case WorkPhase::Queued:
      RefuseWhatMayNotRun(lane, aNow, aActions);
      break;
    case WorkPhase::Running:
      if (work.mCancellation == Cancellation::NotAsked) {
        mLanes.JudgeTimeout(lane, work, aNow);
      }
      Answer(work,
             UnknownOutcome(work,
                            ErrorCode::DeadlinePassed,
                            "the target did not reply in time"),
             aNow,
             aActions);
      mCancellations.Ask(lane, work, aActions);
      mWork.SetTimer(aId, work.mSent + mSettings.RunWithDrift());
      break;
    case WorkPhase::Abandoned:
      if (work.mConnection == Connection::Open) {
        aActions->emplace_back(CloseExchange{ aId });
      }
      lane.FreeSlot(&work);
      EndExchange(lane, work, aNow);
      break;
  }
  Resume(lane, aNow, aActions);
}

} // namespace verbenachute
