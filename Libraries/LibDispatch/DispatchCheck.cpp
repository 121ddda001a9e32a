#include <LibDispatch/DispatchCheck.h>

#include <utility>

namespace verbenachute {

DispatchCheck::DispatchCheck(const DispatchSettings& aSettings,
                             const LeaseAuthority& aAuthority,
                             const PoisonList& aPoison)
  : mSettings(aSettings)
  , mAuthority(aAuthority)
  , mPoison(aPoison)
{
}

void
DispatchCheck::OnConfiguration(std::shared_ptr<const ConfigurationView> aView)
{
  const bool isNewer = !mConfiguration || aView->CurrentRevision() >
                                            mConfiguration->CurrentRevision();
  if (isNewer) {
    mConfiguration = std::move(aView);
  }
}

std::optional<SubFailure>
DispatchCheck::Refusal(const Work& aWork,
                       const TargetLane& aLane,
                       Instant aNow) const
{
  std::optional<SubFailure> refusal = LeaseRefusal(aWork, aLane, aNow);
  if (!refusal) {
    refusal = ConfigurationRefusal(aWork);
  }
  if (!refusal) {
    refusal = AdmittanceRefusal(aWork);
  }
  if (!refusal) {
    refusal = TargetRefusal(aWork, aLane);
  }
  return refusal ? refusal : PoisonRefusal(aWork, aNow);
}

std::optional<SubFailure>
DispatchCheck::WaitRefusal(const Work& aWork,
                           const TargetLane& aLane,
                           std::optional<Duration> aUsualService) const
{
  if (!aUsualService) {
    return std::nullopt;
  }
  const Duration wait = aLane.ExpectedWait(
    mSettings.WeightOf(aWork.mSubQuery.mClass), *aUsualService);
  if (wait.count() == 0 || wait + *aUsualService <= aWork.mSubQuery.mTimeLeft) {
    return std::nullopt;
  }
  return NotRunFailure(ErrorCode::Overloaded,
                       aWork.mSubQuery.mTarget,
                       "the wait for the target exceeds the time left");
}

ProbePermission
DispatchCheck::MayProbe(const TargetLane& aLane, Instant aNow) const
{
  if (!mConfiguration ||
      mConfiguration->CurrentRevision() < mAuthority.RequiredRevision() ||
      !mAuthority.MayDispatch(aLane.OwnBucket(), aNow)) {
    return ProbePermission::Denied;
  }
  const AdmittanceDecision decision =
    mConfiguration->MayTakeNewWork(aLane.Entry().mName, CallerId());
  const bool isDenied = decision.mAdmittance == Admittance::LeftAlone ||
                        decision.mAdmittance == Admittance::UnknownTarget;
  return isDenied ? ProbePermission::Denied : ProbePermission::Allowed;
}

std::optional<SubFailure>
DispatchCheck::LeaseRefusal(const Work& aWork,
                            const TargetLane& aLane,
                            Instant aNow) const
{
  const TargetName& target = aWork.mSubQuery.mTarget;
  if (!mAuthority.MayDispatch(aLane.OwnBucket(), aNow)) {
    return NotRunFailure(
      ErrorCode::NotHolder, target, "this node does not hold the target");
  }
  if (aNow >= aWork.mDeadline) {
    return NotRunFailure(ErrorCode::DeadlinePassed,
                         target,
                         "the deadline passed before a slot was free");
  }
  return std::nullopt;
}

std::optional<SubFailure>
DispatchCheck::PoisonRefusal(const Work& aWork, Instant aNow) const
{
  const PoisonStanding standing =
    mPoison.StandingOf(aWork.mSubQuery.mFingerprint, aNow);
  if (standing != PoisonStanding::Refused) {
    return std::nullopt;
  }
  return NotRunFailure(ErrorCode::Poisoned,
                       aWork.mSubQuery.mTarget,
                       "targets crashed under the same query lately");
}

std::optional<SubFailure>
DispatchCheck::ConfigurationRefusal(const Work& aWork) const
{
  const TargetName& target = aWork.mSubQuery.mTarget;
  if (!mConfiguration) {
    return NotRunFailure(ErrorCode::Unavailable,
                         target,
                         "this node has no configuration in force yet");
  }
  if (mConfiguration->CurrentRevision() < mAuthority.RequiredRevision()) {
    return NotRunFailure(ErrorCode::Unavailable,
                         target,
                         "a newer configuration than this node's is accepted");
  }
  return std::nullopt;
}

std::optional<SubFailure>
DispatchCheck::AdmittanceRefusal(const Work& aWork) const
{
  const TargetName& target = aWork.mSubQuery.mTarget;
  const AdmittanceDecision decision =
    mConfiguration->MayTakeNewWork(target, aWork.mSubQuery.mCaller);
  switch (decision.mAdmittance) {
    case Admittance::Admitted:
      return std::nullopt;
    case Admittance::NotForCaller:
      return NotRunFailure(ErrorCode::Forbidden,
                           target,
                           "not for this caller: " + decision.mReason);
    case Admittance::NoNewWork:
    case Admittance::LeftAlone:
      return NotRunFailure(
        ErrorCode::Refused, target, "no new work: " + decision.mReason);
    case Admittance::UnknownTarget:
      break;
  }
  return NotRunFailure(
    ErrorCode::NotFound, target, "the target is not registered");
}

std::optional<SubFailure>
DispatchCheck::TargetRefusal(const Work& aWork, const TargetLane& aLane) const
{
  if (aLane.Judge().TakesWork()) {
    return std::nullopt;
  }
  const bool isDraining =
    aLane.Judge().ConditionOf(Warmth::Cold) == TargetCondition::Draining;
  return NotRunFailure(
    isDraining ? ErrorCode::Draining : ErrorCode::Unreachable,
    aWork.mSubQuery.mTarget,
    isDraining ? "the target is draining" : "the target is down");
}

SubFailure
NotRunFailure(ErrorCode aCode,
              const TargetName& aTarget,
              const std::string& aMessage)
{
  return SubFailure{ Error{ Step::Gate, aCode, aTarget.value(), aMessage },
                     Execution::NotRun };
}

} // namespace verbenachute
