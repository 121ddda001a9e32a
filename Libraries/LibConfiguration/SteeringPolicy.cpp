#include <LibConfiguration/SteeringPolicy.h>

#include <LibCore/Overloaded.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr const char* kAll = "*";

/// What an edit affects, in terms of steering rules.
struct Touched
{
  SteeringScope mScope = SteeringScope::Policy;
  /// Empty unless the scope is Labels.
  std::string mLabelKey;
  /// kAll for edits that affect all failure domains.
  std::string mDomain = kAll;
};

std::string
DomainOfTarget(const ConfigurationContent& aContent, const TargetName& aTarget)
{
  const TargetEntry* target = aContent.mTargets->Find(aTarget);
  return target ? target->mDomain.value() : kAll;
}

std::string
DomainOfSubject(const ConfigurationContent& aContent,
                const LabelSubject& aSubject)
{
  const TargetName* target = std::get_if<TargetName>(&aSubject);
  return target ? DomainOfTarget(aContent, *target)
                : std::get<FailureDomain>(aSubject).value();
}

Touched
TouchedBy(const ConfigurationContent& aContent, const Edit& aEdit)
{
  return std::visit(
    Overloaded{
      [&](const SetLabel& aSet) {
        return Touched{ SteeringScope::Labels,
                        aSet.mKey,
                        DomainOfSubject(aContent, aSet.mSubject) };
      },
      [&](const ClearLabel& aClear) {
        return Touched{ SteeringScope::Labels,
                        aClear.mKey,
                        DomainOfSubject(aContent, aClear.mSubject) };
      },
      [](const SetSelector&) {
        return Touched{ SteeringScope::Selectors, "", kAll };
      },
      [](const RemoveSelector&) {
        return Touched{ SteeringScope::Selectors, "", kAll };
      },
      [](const TakeDomainOut& aTake) {
        return Touched{ SteeringScope::Domains, "", aTake.mDomain.value() };
      },
      [](const BringDomainIn& aBring) {
        return Touched{ SteeringScope::Domains, "", aBring.mDomain.value() };
      },
      [](const RegisterDomain& aRegister) {
        return Touched{ SteeringScope::Domains, "", aRegister.mDomain.value() };
      },
      [](const RegisterTarget& aRegister) {
        return Touched{ SteeringScope::Targets,
                        "",
                        aRegister.mTarget.mDomain.value() };
      },
      [&](const RemoveTarget& aRemove) {
        return Touched{ SteeringScope::Targets,
                        "",
                        DomainOfTarget(aContent, aRemove.mTarget) };
      },
      [](const SetPolicy&) {
        return Touched{ SteeringScope::Policy, "", kAll };
      },
    },
    aEdit);
}

bool
Names(const std::set<std::string>& aNames, const std::string& aName)
{
  return aNames.contains(kAll) || aNames.contains(aName);
}

bool
Grants(const SteeringRule& aRule,
       const OperatorName& aOperator,
       const Touched& aTouched)
{
  const bool key = aTouched.mScope != SteeringScope::Labels ||
                   Names(aRule.mLabelKeys, aTouched.mLabelKey);
  // Selectors and the policy affect all failure domains, whatever a rule names.
  const bool everywhere = aTouched.mScope == SteeringScope::Selectors ||
                          aTouched.mScope == SteeringScope::Policy;
  return Names(aRule.mOperators, aOperator.value()) &&
         aRule.mScopes.contains(aTouched.mScope) && key &&
         (everywhere ? aRule.mDomains.contains(kAll)
                     : Names(aRule.mDomains, aTouched.mDomain));
}

} // namespace

bool
MaySteer(const ConfigurationContent& aContent,
         const OperatorName& aOperator,
         const Edit& aEdit)
{
  if (aContent.mPolicy.empty()) {
    return true;
  }
  const Touched touched = TouchedBy(aContent, aEdit);
  return std::any_of(aContent.mPolicy.begin(),
                     aContent.mPolicy.end(),
                     [&](const SteeringRule& aRule) {
                       return Grants(aRule, aOperator, touched);
                     });
}

} // namespace verbenachute
