#include <LibDispatch/LaneTable.h>

#include <algorithm>

namespace verbenachute {

LaneTable::LaneTable(const DispatchSettings& aSettings,
                     const DispatchCheck& aCheck)
  : mSettings(aSettings)
  , mCheck(aCheck)
{
}

TargetLane*
LaneTable::Find(const TargetName& aTarget)
{
  const auto lane = mLanes.find(aTarget);
  return lane == mLanes.end() ? nullptr : &lane->second;
}

std::vector<TargetLane*>
LaneTable::InBucket(const Bucket& aBucket)
{
  std::vector<TargetLane*> lanes;
  for (auto& [target, lane] : mLanes) {
    if (lane.OwnBucket() == aBucket) {
      lanes.push_back(&lane);
    }
  }
  return lanes;
}

std::vector<TargetLane*>
LaneTable::All()
{
  std::vector<TargetLane*> lanes;
  for (auto& [target, lane] : mLanes) {
    lanes.push_back(&lane);
  }
  return lanes;
}

std::size_t
LaneTable::InHand(const Bucket& aBucket) const
{
  std::size_t count = 0;
  for (const auto& [target, lane] : mLanes) {
    if (lane.OwnBucket() == aBucket) {
      count += lane.Queue().size() + lane.Running().size();
    }
  }
  return count;
}

void
LaneTable::OnBucketGained(const Bucket& aBucket, Instant aNow)
{
  mHeld.insert(aBucket);
  Refresh(aNow);
  for (TargetLane* lane : InBucket(aBucket)) {
    lane->Forget(aNow);
    mNextProbe = aNow;
  }
}

void
LaneTable::OnBucketLost(const Bucket& aBucket)
{
  mHeld.erase(aBucket);
  DropUnused();
}

bool
LaneTable::Holds(const Bucket& aBucket) const
{
  return mHeld.contains(aBucket);
}

void
LaneTable::Refresh(Instant aNow)
{
  const ConfigurationView* configuration = mCheck.Configuration();
  if (configuration == nullptr) {
    return;
  }
  for (const TargetName& target : configuration->AllTargets()) {
    const TargetEntry* entry = configuration->FindTarget(target);
    TargetLane* lane = Find(target);
    if (lane != nullptr) {
      lane->OnEntry(*entry, aNow);
      lane->OnAdmittance(
        configuration->MayTakeNewWork(target, CallerId()).mAdmittance, aNow);
    } else if (Holds(BucketOf(entry->mDomain, entry->mName))) {
      lane =
        &mLanes.emplace(target, TargetLane(*entry, mSettings)).first->second;
      lane->Forget(aNow);
      mNextProbe = aNow;
    }
  }
}

void
LaneTable::DropUnused()
{
  const ConfigurationView* configuration = mCheck.Configuration();
  std::erase_if(mLanes, [this, configuration](const auto& aLane) {
    const bool isUsed = Holds(aLane.second.OwnBucket()) &&
                        configuration->FindTarget(aLane.first) != nullptr;
    return !isUsed && aLane.second.IsIdle();
  });
}

void
LaneTable::ForgetWarmth(Instant aNow)
{
  for (auto& [target, lane] : mLanes) {
    lane.Ramp().Reset(aNow);
    mTouched.insert(target);
  }
}

void
LaneTable::JudgeReply(TargetLane& aLane,
                      const Work& aWork,
                      const TargetReply& aReply,
                      Instant aNow)
{
  mTouched.insert(aLane.Entry().mName);
  if (aReply.mVerdict == TargetVerdict::Draining) {
    Apply(aLane, aLane.Judge().OnDraining(aNow), aNow);
    return;
  }
  Apply(aLane, aLane.Judge().OnReply(), aNow);
  LatencyBaseline& baseline = mBaselines[aLane.Entry().mService];
  const Duration service = aNow - aWork.mSent;
  Pace pace = Pace::Slow;
  switch (aReply.mVerdict) {
    case TargetVerdict::Answered:
      pace = baseline.Judge(service);
      break;
    case TargetVerdict::EndedWhileRunning:
      pace = baseline.PaceOf(service);
      break;
    case TargetVerdict::VersionNotHeld:
      aLane.OnVersions(aReply.mVersions);
      return;
    case TargetVerdict::Shed:
    case TargetVerdict::Failed:
      break;
    case TargetVerdict::Malformed:
    case TargetVerdict::EndedBeforeRun:
    case TargetVerdict::Draining:
    case TargetVerdict::Unreadable:
      return;
  }
  if (pace == Pace::Slow) {
    aLane.Ramp().OnStrain(aWork.mSent, aNow);
  } else if (aReply.mVerdict == TargetVerdict::Answered) {
    aLane.Ramp().OnSuccess(aWork.mSent, aNow, aLane.FullLimit());
  }
}

void
LaneTable::JudgeTimeout(TargetLane& aLane, const Work& aWork, Instant aNow)
{
  // Work with a short deadline says nothing about the target.
  const LatencyBaseline& baseline = mBaselines[aLane.Entry().mService];
  if (baseline.PaceOf(aNow - aWork.mSent) == Pace::Normal) {
    return;
  }
  mTouched.insert(aLane.Entry().mName);
  aLane.Ramp().OnStrain(aWork.mSent, aNow);
  Apply(aLane, aLane.Judge().OnTimeout(), aNow);
}

void
LaneTable::JudgeBrokenConnection(TargetLane& aLane, Instant aNow)
{
  aLane.Ramp().Reset(aNow);
  Apply(aLane, aLane.Judge().OnConnectionBroken(), aNow);
}

void
LaneTable::JudgeProbeReply(TargetLane& aLane,
                           const std::vector<HeldVersion>& aVersions,
                           Instant aNow)
{
  aLane.OnVersions(aVersions);
  Apply(aLane, aLane.Judge().OnProbeReply(aNow), aNow);
}

void
LaneTable::JudgeProbeFailure(TargetLane& aLane, Instant aNow)
{
  Apply(aLane, aLane.Judge().OnProbeFailed(), aNow);
}

std::optional<Duration>
LaneTable::UsualService(const ServiceName& aService) const
{
  const auto baseline = mBaselines.find(aService);
  return baseline == mBaselines.end() ? std::nullopt : baseline->second.Usual();
}

void
LaneTable::Probe(Instant aNow, DispatchActions* aActions)
{
  if (!mNextProbe || aNow < *mNextProbe) {
    return;
  }
  mNextProbe.reset();
  for (auto& [target, lane] : mLanes) {
    if (!Holds(lane.OwnBucket())) {
      continue;
    }
    if (lane.NextProbe() <= aNow) {
      lane.SetNextProbe(aNow + mSettings.mProbeInterval);
      const bool mayProbe =
        mCheck.MayProbe(lane, aNow) == ProbePermission::Allowed;
      if (mayProbe && !lane.IsProbing() &&
          lane.HasConnection(ExchangeKind::Control)) {
        lane.StartProbe();
        aActions->emplace_back(ProbeTarget{
          target, lane.Entry().mAddress, mSettings.mProbeTimeout });
      }
    }
    mNextProbe =
      mNextProbe ? std::min(*mNextProbe, lane.NextProbe()) : lane.NextProbe();
  }
}

std::optional<Instant>
LaneTable::NextProbe() const
{
  return mNextProbe;
}

void
LaneTable::Publish(DispatchActions* aActions)
{
  for (const TargetName& target : mTouched) {
    TargetLane* lane = Find(target);
    if (lane == nullptr || !Holds(lane->OwnBucket())) {
      continue;
    }
    const std::optional<TargetState> state = lane->StateToPublish();
    if (state) {
      aActions->emplace_back(PublishTargetState{ *state });
    }
  }
  mTouched.clear();
}

void
LaneTable::CloseIdle(const Bucket& aBucket, DispatchActions* aActions) const
{
  for (const auto& [target, lane] : mLanes) {
    if (lane.OwnBucket() == aBucket) {
      aActions->emplace_back(
        CloseIdleConnections{ target, lane.Entry().mAddress });
    }
  }
}

void
LaneTable::Apply(TargetLane& aLane, JudgeChange aChange, Instant aNow)
{
  mTouched.insert(aLane.Entry().mName);
  if (aChange == JudgeChange::None) {
    return;
  }
  aLane.Ramp().Reset(aNow);
  aLane.SetNextProbe(aNow);
  mNextProbe = aNow;
}

} // namespace verbenachute
