#include <LibDispatch/DispatchGate.h>

#include <utility>

namespace verbenachute {

DispatchGate::DispatchGate(NodeIdentity aSelf,
                           const DispatchSettings& aSettings,
                           const LeaseAuthority& aAuthority)
  : mSettings(aSettings)
  , mPoison(std::move(aSelf), aSettings)
  , mCheck(aSettings, aAuthority, mPoison.List())
  , mLanes(aSettings, mCheck)
  , mRunner(aSettings, mCheck, mPoison, mLanes)
{
}

DispatchActions
DispatchGate::OnSubQuery(const SubQuery& aSubQuery,
                         const NodeIdentity& aOrigin,
                         Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.Take(aSubQuery, aOrigin, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnTargetReply(DispatchId aId,
                            const TargetReply& aReply,
                            Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnTargetReply(aId, aReply, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConnectionFailed(DispatchId aId, Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnConnectionFailed(aId, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConnectionLost(DispatchId aId, Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnConnectionLost(aId, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnCancel(const NodeIdentity& aOrigin,
                       AttemptId aAttempt,
                       Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnCancel(aOrigin, aAttempt, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnCancelQuery(const NodeIdentity& aOrigin,
                            QueryId aQuery,
                            Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnCancelQuery(aOrigin, aQuery, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnCancelOutcome(DispatchId aId,
                              CancelOutcome aOutcome,
                              Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnCancelOutcome(aId, aOutcome, aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnIdleConnectionLost(const TargetName& aTarget, Instant aNow)
{
  Begin(aNow);
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr) {
    lane->Ramp().Reset(aNow);
  }
  return Finish(aNow, {});
}

DispatchActions
DispatchGate::OnProbeReply(const TargetName& aTarget,
                           const std::vector<HeldVersion>& aVersions,
                           Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr && lane->EndProbe()) {
    mLanes.JudgeProbeReply(*lane, aVersions, aNow);
    mRunner.Recheck({ lane }, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnProbeFailed(const TargetName& aTarget, Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  TargetLane* lane = mLanes.Find(aTarget);
  if (lane != nullptr && lane->EndProbe()) {
    mLanes.JudgeProbeFailure(*lane, aNow);
    mRunner.Recheck({ lane }, aNow, &actions);
  }
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnConfiguration(std::shared_ptr<const ConfigurationView> aView,
                              Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mCheck.OnConfiguration(std::move(aView));
  mLanes.Refresh(aNow);
  mRunner.Recheck(mLanes.All(), aNow, &actions);
  mLanes.DropUnused();
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnBucketGained(const Bucket& aBucket, Instant aNow)
{
  Begin(aNow);
  mStopping.erase(aBucket);
  mLanes.OnBucketGained(aBucket, aNow);
  return Finish(aNow, {});
}

DispatchActions
DispatchGate::OnBucketStopping(const Bucket& aBucket, Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mStopping.insert(aBucket);
  mRunner.Recheck(mLanes.InBucket(aBucket), aNow, &actions);
  mLanes.CloseIdle(aBucket, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnBucketLost(const Bucket& aBucket, Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mStopping.erase(aBucket);
  mRunner.Recheck(mLanes.InBucket(aBucket), aNow, &actions);
  mLanes.CloseIdle(aBucket, &actions);
  mLanes.OnBucketLost(aBucket);
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
  Begin(aNow);
  DispatchActions actions;
  mPoison.List().OnReport(aReport, aNow);
  mRunner.Recheck(mLanes.All(), aNow, &actions);
  return Finish(aNow, std::move(actions));
}

DispatchActions
DispatchGate::OnTimer(Instant aNow)
{
  Begin(aNow);
  DispatchActions actions;
  mRunner.OnTimer(aNow, &actions);
  mLanes.DropUnused();
  return Finish(aNow, std::move(actions));
}

std::vector<PoisonReport>
DispatchGate::PoisonReports(Instant aNow)
{
  return mPoison.List().Reports(aNow);
}

std::size_t
DispatchGate::InHand(const Bucket& aBucket) const
{
  return mLanes.InHand(aBucket);
}

void
DispatchGate::Begin(Instant aNow)
{
  // While this node was paused a target may have been restarted, and events
  // that were decided by its old limit may come before the notice of it.
  if (aNow >= mLastEvent + mSettings.mPause) {
    mLanes.ForgetWarmth(aNow);
  }
  mLastEvent = aNow;
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
  std::optional<Instant> next = mRunner.NextTimer();
  const std::optional<Instant> probe = mLanes.NextProbe();
  if (probe && (!next || *probe < *next)) {
    next = probe;
  }
  if (mPulse <= aNow) {
    mPulse = aNow + mSettings.mPause / 2;
  }
  if (!mLanes.IsEmpty() && (!next || mPulse < *next)) {
    next = mPulse;
  }
  if (next && (next != mWakeAt || *next <= aNow)) {
    aActions.emplace_back(WakeGateAt{ *next });
  }
  mWakeAt = next;
  return aActions;
}

} // namespace verbenachute
