#include <LibConfiguration/Configuration.h>

#include <LibConfiguration/ConfigurationChecks.h>
#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

Result<std::shared_ptr<const Configuration>>
Configuration::Create(ConfigurationContent aContent)
{
  Result<Success> checked = CheckContent(aContent);
  if (IsError(checked)) {
    return ErrorOf(checked);
  }
  return std::shared_ptr<const Configuration>(
    new Configuration(std::move(aContent)));
}

Configuration::Configuration(ConfigurationContent aContent)
  : mContent(std::move(aContent))
  , mEvaluations(mContent.mTargets->Names().size())
{
}

Revision
Configuration::CurrentRevision() const
{
  return mContent.mRevision;
}

const TargetEntry*
Configuration::FindTarget(const TargetName& aTarget) const
{
  return mContent.mTargets->Find(aTarget);
}

const std::vector<TargetName>&
Configuration::TargetsOf(const ServiceName& aService) const
{
  return mContent.mTargets->TargetsOf(aService);
}

const std::vector<TargetName>&
Configuration::AllTargets() const
{
  return mContent.mTargets->Names();
}

AdmittanceDecision
Configuration::MayTakeNewWork(const TargetName& aTarget,
                              const CallerId& aCaller) const
{
  if (!FindTarget(aTarget)) {
    return { Admittance::UnknownTarget, "" };
  }
  const Evaluation& standing = EvaluationOf(aTarget);
  for (const Selector* selector : standing.mServeOnly) {
    if (!std::binary_search(
          selector->mCallers.begin(), selector->mCallers.end(), aCaller)) {
      return { Admittance::NotForCaller, selector->mName };
    }
  }
  return { standing.mAdmittance, standing.mReason };
}

LabelSet
Configuration::EffectiveLabels(const TargetName& aTarget) const
{
  const TargetEntry* target = FindTarget(aTarget);
  VERIFY(target);
  // A target's own label overrides that of its failure domain.
  LabelSet labels = mContent.mTargetLabels.LabelsOf(aTarget);
  const auto inherited = mContent.mDomainLabels.find(target->mDomain);
  if (inherited != mContent.mDomainLabels.end()) {
    labels.insert(inherited->second.begin(), inherited->second.end());
  }
  labels[std::string(kTargetKey)] = target->mName.value();
  labels[std::string(kServiceKey)] = target->mService.value();
  labels[std::string(kDomainKey)] = target->mDomain.value();
  labels[std::string(kRegionKey)] =
    mContent.mDomains.at(target->mDomain).mRegion.value();
  return labels;
}

Configuration::Explanation
Configuration::Explain(const TargetName& aTarget, const CallerId& aCaller) const
{
  Explanation explanation;
  explanation.mDecision = MayTakeNewWork(aTarget, aCaller);
  const TargetEntry* target = FindTarget(aTarget);
  if (!target) {
    explanation.mRules.push_back("target '" + aTarget.value() +
                                 "' is not registered");
    return explanation;
  }
  explanation.mLabels = EffectiveLabels(aTarget);
  const DomainState state = mContent.mDomains.at(target->mDomain).mState;
  explanation.mRules.push_back("failure domain " + target->mDomain.value() +
                               " is " +
                               (state == DomainState::In ? "in" : "out"));
  for (const auto& [name, selector] : mContent.mSelectors) {
    const bool matches = selector.mMatches.Matches(explanation.mLabels);
    explanation.mRules.push_back(
      "selector " + name + " (" + SelectorEffectName(selector.mEffect) + ") " +
      (matches ? "matches " : "does not match ") + selector.mMatches.Text());
  }
  return explanation;
}

Configuration::Availability
Configuration::AvailabilityOf(const TargetName& aTarget) const
{
  const Evaluation& standing = EvaluationOf(aTarget);
  if (standing.mAdmittance != Admittance::Admitted) {
    return Availability::Closed;
  }
  if (standing.mServeOnly.empty()) {
    return Availability::AllCallers;
  }
  std::vector<CallerId> callers = standing.mServeOnly.front()->mCallers;
  for (const Selector* selector : standing.mServeOnly) {
    std::erase_if(callers, [selector](const CallerId& aCaller) {
      return !std::binary_search(
        selector->mCallers.begin(), selector->mCallers.end(), aCaller);
    });
  }
  return callers.empty() ? Availability::Closed : Availability::SomeCallers;
}

const Configuration::Evaluation&
Configuration::EvaluationOf(const TargetName& aTarget) const
{
  const std::size_t position = mContent.mTargets->PositionOf(aTarget);
  std::optional<Evaluation>& standing = mEvaluations[position];
  if (!standing) {
    standing = Evaluate(mContent.mTargets->Entries()[position]);
  }
  return *standing;
}

Configuration::Evaluation
Configuration::Evaluate(const TargetEntry& aTarget) const
{
  Evaluation standing;
  if (mContent.mDomains.at(aTarget.mDomain).mState == DomainState::Out) {
    standing = { Admittance::NoNewWork, aTarget.mDomain.value(), {} };
  }
  if (mContent.mSelectors.empty()) {
    return standing;
  }
  const LabelSet labels = EffectiveLabels(aTarget.mName);
  std::vector<const Selector*> serveOnly;
  for (const auto& [name, selector] : mContent.mSelectors) {
    if (!selector.mMatches.Matches(labels)) {
      continue;
    }
    if (selector.mEffect == SelectorEffect::LeaveAlone) {
      return { Admittance::LeftAlone, name, {} };
    }
    if (selector.mEffect == SelectorEffect::ServeOnly) {
      serveOnly.push_back(&selector);
    } else if (standing.mAdmittance == Admittance::Admitted) {
      standing = { Admittance::NoNewWork, name, {} };
    }
  }
  if (standing.mAdmittance == Admittance::Admitted) {
    standing.mServeOnly = std::move(serveOnly);
  }
  return standing;
}

} // namespace verbenachute
