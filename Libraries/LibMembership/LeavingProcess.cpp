#include <LibMembership/LeavingProcess.h>

#include <LibCore/Verify.h>

namespace verbenachute {

LeavingProcess::LeavingProcess(Settings aSettings)
  : mSettings(aSettings)
{
}

std::vector<LeavingAction>
LeavingProcess::OnSignal(const LeavingFacts& aFacts, Instant aNow)
{
  if (mPhase == LeavingPhase::Serving) {
    Enter(LeavingPhase::Announcing, aNow);
    return { LeavingAction::AnnounceLeaving };
  }
  if (mPhase == LeavingPhase::Finished) {
    return {};
  }
  GiveUp(LeavingEnding::SecondSignal, aFacts);
  Enter(LeavingPhase::Finished, aNow);
  return { LeavingAction::Exit };
}

std::vector<LeavingAction>
LeavingProcess::Step(const LeavingFacts& aFacts, Instant aNow)
{
  std::vector<LeavingAction> actions;
  // Phases that are over at once are passed in one step.
  while (IsOver(aFacts, aNow)) {
    for (const LeavingAction action : EnterNext(aNow)) {
      actions.push_back(action);
    }
  }
  return actions;
}

bool
LeavingProcess::IsOver(const LeavingFacts& aFacts, Instant aNow)
{
  switch (mPhase) {
    case LeavingPhase::Serving:
    case LeavingPhase::Finished:
      return false;
    case LeavingPhase::Announcing:
      return aFacts.mUnconfirmed.empty() ||
             aNow - mEnteredAt >= mSettings.mLongestOffer;
    case LeavingPhase::RunningOut:
      return aNow - mEnteredAt >=
             mSettings.mAddressValidity + mSettings.mMargin;
    case LeavingPhase::HandingOver:
      return aFacts.mBucketsHeld == 0 ||
             IsLate(mSettings.mHandOverLimit, aFacts, aNow);
    case LeavingPhase::Draining:
      return (aFacts.mQueries.empty() && aFacts.mSubQueries == 0) ||
             IsLate(mSettings.mDrainLimit, aFacts, aNow);
  }
  VERIFY(!"unknown leaving phase");
}

bool
LeavingProcess::IsLate(Duration aLimit,
                       const LeavingFacts& aFacts,
                       Instant aNow)
{
  if (aNow - mEnteredAt < aLimit) {
    return false;
  }
  GiveUp(LeavingEnding::LimitPassed, aFacts);
  return true;
}

void
LeavingProcess::GiveUp(LeavingEnding aEnding, const LeavingFacts& aFacts)
{
  if (mReport.mEnding == LeavingEnding::Graceful) {
    mReport.mPhase = mPhase;
  }
  mReport.mEnding = aEnding;
  mReport.mGivenUp = aFacts;
}

std::vector<LeavingAction>
LeavingProcess::EnterNext(Instant aNow)
{
  switch (mPhase) {
    case LeavingPhase::Announcing:
      Enter(LeavingPhase::RunningOut, aNow);
      return {};
    case LeavingPhase::RunningOut:
      Enter(LeavingPhase::HandingOver, aNow);
      return { LeavingAction::RefuseNewWork, LeavingAction::HandOverBuckets };
    case LeavingPhase::HandingOver:
      Enter(LeavingPhase::Draining, aNow);
      return {};
    case LeavingPhase::Draining:
      Enter(LeavingPhase::Finished, aNow);
      return { LeavingAction::Exit };
    case LeavingPhase::Serving:
    case LeavingPhase::Finished:
      break;
  }
  VERIFY(!"no phase follows");
}

void
LeavingProcess::Enter(LeavingPhase aPhase, Instant aNow)
{
  mPhase = aPhase;
  mEnteredAt = aNow;
}

} // namespace verbenachute
