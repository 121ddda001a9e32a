#include <LibDispatch/TargetJudge.h>

namespace verbenachute {

namespace {

/// Timeouts in a row after which a target is down.
constexpr int kTimeoutsBeforeDown = 3;
constexpr int kFailedProbesBeforeDown = 2;
/// A target that answers probes is tried again so long after it last refused
/// work as draining; it answers probes while it drains, too.
constexpr Duration kDrainingBeforeTrial = seconds(30);

} // namespace

JudgeChange
TargetJudge::OnReply()
{
  mTimeouts = 0;
  mFailedProbes = 0;
  // Work that was sent before the target said so may still be answered.
  if (mReach == Reach::Draining || mReach == Reach::Up) {
    return JudgeChange::None;
  }
  const bool wasDown = mReach == Reach::Down;
  mReach = Reach::Up;
  return wasDown ? JudgeChange::Returned : JudgeChange::None;
}

JudgeChange
TargetJudge::OnDraining(Instant aNow)
{
  mReach = Reach::Draining;
  mDrainingSince = aNow;
  return JudgeChange::Lost;
}

JudgeChange
TargetJudge::OnConnectionBroken()
{
  return Lose();
}

JudgeChange
TargetJudge::OnTimeout()
{
  ++mTimeouts;
  return mTimeouts >= kTimeoutsBeforeDown ? Lose() : JudgeChange::None;
}

JudgeChange
TargetJudge::OnProbeReply(Instant aNow)
{
  mFailedProbes = 0;
  const bool isDraining =
    mReach == Reach::Draining && aNow < mDrainingSince + kDrainingBeforeTrial;
  if (mReach == Reach::Up || isDraining) {
    return JudgeChange::None;
  }
  const bool wasUnknown = mReach == Reach::Unknown;
  mReach = Reach::Up;
  mTimeouts = 0;
  return wasUnknown ? JudgeChange::None : JudgeChange::Returned;
}

JudgeChange
TargetJudge::OnProbeFailed()
{
  ++mFailedProbes;
  return mFailedProbes >= kFailedProbesBeforeDown ? Lose() : JudgeChange::None;
}

void
TargetJudge::Forget()
{
  *this = TargetJudge();
}

bool
TargetJudge::TakesWork() const
{
  return mReach == Reach::Unknown || mReach == Reach::Up;
}

TargetCondition
TargetJudge::ConditionOf(Warmth aWarmth) const
{
  switch (mReach) {
    case Reach::Down:
      return TargetCondition::Down;
    case Reach::Draining:
      return TargetCondition::Draining;
    case Reach::Unknown:
    case Reach::Up:
      break;
  }
  return aWarmth == Warmth::Warm ? TargetCondition::Ready
                                 : TargetCondition::Warming;
}

JudgeChange
TargetJudge::Lose()
{
  if (mReach == Reach::Down) {
    return JudgeChange::None;
  }
  mReach = Reach::Down;
  return JudgeChange::Lost;
}

} // namespace verbenachute
