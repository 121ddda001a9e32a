#include <LibDispatch/DispatchGate.h>

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

DispatchGate::DispatchGate(NodeIdentity aSelf,
                           const DispatchSettings& aSettings,
                           const LeaseAuthority& aAuthority)
  : mSettings(aSettings)
  , mCheck(aAuthority)
  , mPoison(std::move(aSelf), aSettings)
  , mLanes(aSettings, mCheck)
{
}

DispatchActions
DispatchGate::OnSubQuery(const SubQuery& aSubQuery,
                         const NodeIdentity& aOrigin,
                         Instant aNow)
{
  DispatchActions actions;
  if (mWork.IsKnown(aOrigin, aSubQuery.mAttempt)) {
    return actions;
  }
  TargetLane* lane = mLanes.Find(aSubQuery.mTarget);
  if (lane == nullptr) {
    const bool isRegistered =
      mCheck.Configuration() == nullptr ||
      mCheck.Configuration()->FindTarget(aSubQuery.mTarget) != nullptr;
    AnswerAtOnce(aSubQuery,
                 aOrigin,
                 isRegistered
                   ? NotRunFailure(ErrorCode::NotHolder,
                                   aSubQuery.mTarget,
                                   "this node does not hold the target")
                   : NotRunFailure(ErrorCode::NotFound,
                                   aSubQuery.mTarget,
                                   "the target is not registered"),
                 aNow,
                 &actions);
    return Finish(aNow, std::move(actions));
  }
  Work& work = mWork.Insert(aSubQuery, aOrigin, aNow);
  Enqueue(*lane, work, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnTargetReply(DispatchId aId,
                            const TargetReply& aReply,
                            Instant aNow)
{
  DispatchActions actions;
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return actions;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  mLanes.JudgeReply(lane, *work, aReply, aNow);
  NoteTrial(*work, aReply, aNow, &actions);
  Answer(*work, OutcomeOf(work->mSubQuery, aReply), aNow, &actions);
  lane.FreeSlot(work);
  EndExchange(lane, *work, aNow);
  Recheck({ &lane }, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConnectionFailed(DispatchId aId, Instant aNow)
{
  DispatchActions actions;
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return actions;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  mLanes.JudgeBrokenConnection(lane, aNow);
  Answer(*work,
         NotRunFailure(ErrorCode::Unreachable,
                       work->mSubQuery.mTarget,
                       "no connection to the target came about"),
         aNow,
         &actions);
  lane.FreeSlot(work);
  EndExchange(lane, *work, aNow);
  Recheck({ &lane }, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConnectionLost(DispatchId aId, Instant aNow)
{
  DispatchActions actions;
  Work* work = mWork.Find(aId);
  if (work == nullptr || work->mConnection != Connection::Open) {
    return actions;
  }
  TargetLane& lane = *mLanes.Find(work->mSubQuery.mTarget);
  if (work->mSlot == Slot::Occupied) {
    NoteCrash(lane, *work, aNow, &actions);
  }
  mLanes.JudgeBrokenConnection(lane, aNow);
  Answer(*work,
         UnknownOutcome(*work,
                        ErrorCode::TargetFailed,
                        "the connection was lost before a reply"),
         aNow,
         &actions);
  // The target may live and go on with the work, so the slot stays taken.
  mWork.SetTimer(aId, work->mSent + mSettings.RunWithDrift());
  EndExchange(lane, *work, aNow);
  Recheck({ &lane }, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnIdleConnectionLost(const TargetName& aTarget, Instant aNow)
{
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr) {
    lane->Ramp().Reset(aNow);
  }
  return Finish(aNow, {});
}

DispatchActions
DispatchGate::OnCancel(const NodeIdentity& aOrigin,
                       AttemptId aAttempt,
                       Instant aNow)
{
  DispatchActions actions;
  const std::optional<DispatchId> id = mWork.FindAttempt(aOrigin, aAttempt);
  if (id) {
    Cancel(*id, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnCancelQuery(const NodeIdentity& aOrigin,
                            QueryId aQuery,
                            Instant aNow)
{
  DispatchActions actions;
  for (const DispatchId id : mWork.OfQuery(aOrigin, aQuery)) {
    Cancel(id, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnCancelOutcome(DispatchId aId,
                              CancelOutcome aOutcome,
                              Instant aNow)
{
  DispatchActions actions;
  const auto cancellation = mCancellations.find(aId);
  if (cancellation == mCancellations.end()) {
    return actions;
  }
  TargetLane& lane = *mLanes.Find(cancellation->second);
  mCancellations.erase(cancellation);
  lane.EndControl();
  Work* work = mWork.Find(aId);
  if (work != nullptr && aOutcome == CancelOutcome::Confirmed) {
    lane.FreeSlot(work);
    if (work->mConnection != Connection::Open) {
      mWork.Erase(aId, aNow);
    }
  }
  Recheck({ &lane }, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnProbeReply(const TargetName& aTarget,
                           const std::vector<HeldVersion>& aVersions,
                           Instant aNow)
{
  DispatchActions actions;
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr && lane->EndProbe()) {
    mLanes.JudgeProbeReply(*lane, aVersions, aNow);
    Recheck({ lane }, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnProbeFailed(const TargetName& aTarget, Instant aNow)
{
  DispatchActions actions;
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr && lane->EndProbe()) {
    mLanes.JudgeProbeFailure(*lane, aNow);
    Recheck({ lane }, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConfiguration(std::shared_ptr<const ConfigurationView> aView,
                              Instant aNow)
{
  DispatchActions actions;
  mCheck.OnConfiguration(std::move(aView));
  Recheck(mLanes.All(), aNow, &actions);
  mLanes.Refresh(aNow);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnBucketGained(const Bucket& aBucket, Instant aNow)
{
  mStopping.erase(aBucket);
  mLanes.OnBucketGained(aBucket, aNow);
  return Finish(aNow, {});
}

DispatchActions
DispatchGate::OnBucketStopping(const Bucket& aBucket, Instant aNow)
{
  DispatchActions actions;
  mStopping.insert(aBucket);
  Recheck(mLanes.InBucket(aBucket), aNow, &actions);
  mLanes.CloseIdle(aBucket, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnBucketLost(const Bucket& aBucket, Instant aNow)
{
  DispatchActions actions;
  mStopping.erase(aBucket);
  Recheck(mLanes.InBucket(aBucket), aNow, &actions);
  mLanes.CloseIdle(aBucket, &actions);
  mLanes.OnBucketLost(aBucket, aNow);
  return Finish(aNow, std::move(actions));
}

void
DispatchGate::OnTargetState(const TargetState& aState)
{
  TargetLane* lane = mLanes.Find(aState.mTarget);
  if (lane != nullptr) {
    lane->OnHeardState(aState);
  }
}

DispatchActions
DispatchGate::OnPoisonReport(const PoisonReport& aReport, Instant aNow)
{
  DispatchActions actions;
  mPoison.OnReport(aReport, aNow);
  Recheck(mLanes.All(), aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnTimer(Instant aNow)
{
  DispatchActions actions;
  for (const DispatchId id : mWork.TakeDue(aNow)) {
    OnWorkTimer(id, aNow, &actions);
  }
  mLanes.Refresh(aNow);
  return Finish(aNow, std::move(actions));
}

std::vector<PoisonReport>
DispatchGate::PoisonReports(Instant aNow)
{
  return mPoison.Reports(aNow);
}

std::size_t
DispatchGate::InHand(const Bucket& aBucket) const
{
  return mLanes.InHand(aBucket);
}

void
DispatchGate::AnswerAtOnce(const SubQuery& aSubQuery,
                           const NodeIdentity& aOrigin,
                           const SubFailure& aFailure,
                           Instant aNow,
                           DispatchActions* aActions)
{
  VERIFY(aFailure.mExecution == Execution::NotRun);
  mWork.RememberRefused(aSubQuery, aOrigin, aNow);
  SubAnswer answer;
  answer.mQuery = aSubQuery.mQuery;
  answer.mAttempt = aSubQuery.mAttempt;
  answer.mOutcome = aFailure;
  aActions->emplace_back(AnswerSubQuery{ aOrigin, answer });
}

void
DispatchGate::Enqueue(TargetLane& aLane,
                      Work& aWork,
                      Instant aNow,
                      DispatchActions* aActions)
{
  std::optional<SubFailure> refusal = Refusal(aWork, aLane, aNow);
  if (!refusal) {
    refusal = WaitRefusal(aWork, aLane);
  }
  if (refusal) {
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
DispatchGate::Pump(TargetLane& aLane, Instant aNow, DispatchActions* aActions)
{
  for (std::optional<DispatchId> first = aLane.Queue().First(); first;
       first = aLane.Queue().First()) {
    Work& work = *mWork.Find(*first);
    // Checked again, since a condition may have changed while it waited.
    const std::optional<SubFailure> refusal = Refusal(work, aLane, aNow);
    if (refusal) {
      RefuseQueued(aLane, work, *refusal, aNow, aActions);
      continue;
    }
    const PoisonStanding standing =
      mPoison.StandingOf(work.mSubQuery.mFingerprint, aNow);
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
DispatchGate::RefuseWhatMayNotRun(TargetLane& aLane,
                                  Instant aNow,
                                  DispatchActions* aActions)
{
  for (const DispatchId id : aLane.Queue().All()) {
    const Work& work = *mWork.Find(id);
    const std::optional<SubFailure> refusal = Refusal(work, aLane, aNow);
    if (refusal) {
      RefuseQueued(aLane, work, *refusal, aNow, aActions);
    }
  }
}

void
DispatchGate::Recheck(const std::vector<TargetLane*>& aLanes,
                      Instant aNow,
                      DispatchActions* aActions)
{
  for (TargetLane* lane : aLanes) {
    RefuseWhatMayNotRun(*lane, aNow, aActions);
    Pump(*lane, aNow, aActions);
  }
}

std::optional<SubFailure>
DispatchGate::Refusal(const Work& aWork, const TargetLane& aLane, Instant aNow)
{
  std::optional<SubFailure> refusal = mCheck.Refusal(aWork, aLane, aNow);
  if (refusal) {
    return refusal;
  }
  const PoisonStanding standing =
    mPoison.StandingOf(aWork.mSubQuery.mFingerprint, aNow);
  if (standing == PoisonStanding::Refused) {
    return NotRunFailure(ErrorCode::Poisoned,
                         aWork.mSubQuery.mTarget,
                         "targets crashed under the same query lately");
  }
  return std::nullopt;
}

std::optional<SubFailure>
DispatchGate::WaitRefusal(const Work& aWork, const TargetLane& aLane) const
{
  const std::optional<Duration> usual =
    mLanes.UsualService(aLane.Entry().mService);
  if (!usual) {
    return std::nullopt;
  }
  const Duration wait =
    aLane.ExpectedWait(mSettings.WeightOf(aWork.mSubQuery.mClass), *usual);
  if (wait.count() == 0 || wait + *usual <= aWork.mSubQuery.mTimeLeft) {
    return std::nullopt;
  }
  return NotRunFailure(ErrorCode::Overloaded,
                       aWork.mSubQuery.mTarget,
                       "the wait for the target exceeds the time left");
}

void
DispatchGate::Send(TargetLane& aLane,
                   Work& aWork,
                   Instant aNow,
                   DispatchActions* aActions)
{
  aLane.Queue().Remove(aWork.mId);
  aWork.mPhase = WorkPhase::Running;
  aWork.mSent = aNow;
  aWork.mRunUntil = std::min(aWork.mDeadline, aNow + mSettings.mLongestRun);
  aLane.Start(&aWork);
  if (aWork.mTrial == Trial::Yes) {
    mPoison.OnTrialStarted(aWork.mSubQuery.mFingerprint);
  }
  mWork.SetTimer(aWork.mId, aWork.mRunUntil);
  SubQuery sent = aWork.mSubQuery;
  sent.mTimeLeft = aWork.mRunUntil - aNow;
  aActions->emplace_back(SendToTarget{
    aWork.mId, aLane.Entry().mAddress, std::move(sent), aWork.mRunUntil });
}

void
DispatchGate::RefuseQueued(TargetLane& aLane,
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
DispatchGate::Answer(Work& aWork,
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
DispatchGate::EndExchange(TargetLane& aLane, Work& aWork, Instant aNow)
{
  VERIFY(aWork.mPhase == WorkPhase::Abandoned);
  aLane.FreeConnection(&aWork);
  if (aWork.mSlot == Slot::Occupied) {
    return;
  }
  if (aWork.mTrial == Trial::Yes) {
    mPoison.OnTrialWithoutResult(aWork.mSubQuery.mFingerprint);
  }
  mWork.Erase(aWork.mId, aNow);
}

void
DispatchGate::Cancel(DispatchId aId, Instant aNow, DispatchActions* aActions)
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
  CancelSent(lane, work, aActions);
}

void
DispatchGate::CancelSent(TargetLane& aLane,
                         Work& aWork,
                         DispatchActions* aActions)
{
  if (aWork.mCancellation == Cancellation::Asked ||
      aWork.mConnection != Connection::Open ||
      !aLane.HasConnection(ExchangeKind::Control)) {
    return;
  }
  aWork.mCancellation = Cancellation::Asked;
  aLane.StartControl();
  mCancellations[aWork.mId] = aLane.Entry().mName;
  aActions->emplace_back(
    CancelAtTarget{ aWork.mId, aLane.Entry().mName, aLane.Entry().mAddress });
}

void
DispatchGate::OnWorkTimer(DispatchId aId,
                          Instant aNow,
                          DispatchActions* aActions)
{
  Work& work = *mWork.Find(aId);
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
      CancelSent(lane, work, aActions);
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
  Recheck({ &lane }, aNow, aActions);
}

void
DispatchGate::NoteTrial(Work& aWork,
                        const TargetReply& aReply,
                        Instant aNow,
                        DispatchActions* aActions)
{
  if (aWork.mTrial == Trial::No || aReply.mVerdict != TargetVerdict::Answered) {
    return;
  }
  const std::optional<PoisonReport> report =
    mPoison.OnTrialCompleted(aWork.mSubQuery.mFingerprint, aNow);
  if (report) {
    aActions->emplace_back(ReportPoison{ *report });
  }
}

void
DispatchGate::NoteCrash(const TargetLane& aLane,
                        Work& aWork,
                        Instant aNow,
                        DispatchActions* aActions)
{
  const TargetName& target = aLane.Entry().mName;
  if (aWork.mTrial == Trial::Yes) {
    const std::optional<PoisonReport> report =
      mPoison.OnTrialCrashed(aWork.mSubQuery.mFingerprint, target, aNow);
    if (report) {
      aActions->emplace_back(ReportPoison{ *report });
    }
    return;
  }
  std::set<Fingerprint> running;
  for (const DispatchId id : aLane.Running()) {
    const Work& work = *mWork.Find(id);
    if (work.mConnection == Connection::Open) {
      running.insert(work.mSubQuery.mFingerprint);
    }
  }
  for (const PoisonReport& report : mPoison.OnCrash(target, running, aNow)) {
    aActions->emplace_back(ReportPoison{ report });
  }
}

void
DispatchGate::ReportDrained(DispatchActions* aActions)
{
  std::erase_if(mStopping, [this, aActions](const Bucket& aBucket) {
    if (InHand(aBucket) > 0) {
      return false;
    }
    aActions->emplace_back(BucketDrained{ aBucket });
    return true;
  });
}

DispatchActions
DispatchGate::Finish(Instant aNow, DispatchActions aActions)
{
  mLanes.Probe(aNow, &aActions);
  mLanes.Publish(&aActions);
  ReportDrained(&aActions);
  std::optional<Instant> next = mWork.NextTimer();
  const std::optional<Instant> probe = mLanes.NextProbe();
  if (probe && (!next || *probe < *next)) {
    next = probe;
  }
  if (next && (next != mWakeAt || *next <= aNow)) {
    aActions.emplace_back(WakeGateAt{ *next });
  }
  mWakeAt = next;
  return aActions;
}

} // namespace verbenachute
