#include <LibConfiguration/EditDifferences.h>

#include <LibConfiguration/EntryJson.h>
#include <LibCore/Overloaded.h>
#include <LibJson/JsonText.h>

#include <set>

namespace verbenachute {

namespace {

using Values =
  std::pair<std::optional<std::string>, std::optional<std::string>>;
using Lookup =
  std::optional<std::string> (*)(const ConfigurationContent& aContent,
                                 const std::string& aName);

std::optional<std::string>
SelectorText(const ConfigurationContent& aContent, const std::string& aName)
{
  const auto found = aContent.mSelectors.find(aName);
  return found == aContent.mSelectors.end()
           ? std::nullopt
           : std::optional(CompactJson(SelectorJson(found->second)));
}

std::optional<std::string>
DomainText(const ConfigurationContent& aContent, const std::string& aName)
{
  const auto found = aContent.mDomains.find(FailureDomain(aName));
  if (found == aContent.mDomains.end()) {
    return std::nullopt;
  }
  return found->second.mRegion.value() +
         (found->second.mState == DomainState::In ? ", in" : ", out");
}

std::optional<std::string>
TargetText(const ConfigurationContent& aContent, const std::string& aName)
{
  const TargetEntry* target = aContent.mTargets->Find(TargetName(aName));
  return target ? std::optional(CompactJson(TargetJson(*target)))
                : std::nullopt;
}

std::optional<std::string>
RuleText(const ConfigurationContent& aContent, const std::string& aName)
{
  for (const SteeringRule& rule : aContent.mPolicy) {
    if (rule.mName == aName) {
      return CompactJson(SteeringRuleJson(rule));
    }
  }
  return std::nullopt;
}

const LabelSet&
LabelsOf(const ConfigurationContent& aContent, const LabelSubject& aSubject)
{
  static const LabelSet kNoLabels;
  if (const TargetName* target = std::get_if<TargetName>(&aSubject)) {
    return aContent.mTargetLabels.LabelsOf(*target);
  }
  const auto found =
    aContent.mDomainLabels.find(std::get<FailureDomain>(aSubject));
  return found == aContent.mDomainLabels.end() ? kNoLabels : found->second;
}

/// Collects the differences of one edit, with one overload for each kind.
class DifferenceCollector
{
public:
  DifferenceCollector(const ConfigurationContent& aBefore,
                      const ConfigurationContent& aAfter)
    : mBefore(aBefore)
    , mAfter(aAfter)
  {
  }

  void operator()(const SetLabel& aSet) { AddLabel(aSet.mSubject, aSet.mKey); }
  void operator()(const ClearLabel& aClear)
  {
    AddLabel(aClear.mSubject, aClear.mKey);
  }
  void operator()(const SetSelector& aSet)
  {
    Compare(DifferenceKind::Selector, aSet.mSelector.mName, SelectorText);
  }
  void operator()(const RemoveSelector& aRemove)
  {
    Compare(DifferenceKind::Selector, aRemove.mName, SelectorText);
  }
  void operator()(const TakeDomainOut& aTake)
  {
    Compare(DifferenceKind::Domain, aTake.mDomain.value(), DomainText);
  }
  void operator()(const BringDomainIn& aBring)
  {
    Compare(DifferenceKind::Domain, aBring.mDomain.value(), DomainText);
  }
  void operator()(const RegisterDomain& aRegister)
  {
    Compare(DifferenceKind::Domain, aRegister.mDomain.value(), DomainText);
  }
  void operator()(const RegisterTarget& aRegister)
  {
    Compare(
      DifferenceKind::Target, aRegister.mTarget.mName.value(), TargetText);
  }
  void operator()(const RemoveTarget& aRemove)
  {
    for (const auto& [key, value] :
         mBefore.mTargetLabels.LabelsOf(aRemove.mTarget)) {
      AddLabel(aRemove.mTarget, key);
    }
    Compare(DifferenceKind::Target, aRemove.mTarget.value(), TargetText);
  }
  void operator()(const SetPolicy&)
  {
    std::set<std::string> names;
    for (const ConfigurationContent* content : { &mBefore, &mAfter }) {
      for (const SteeringRule& rule : content->mPolicy) {
        names.insert(rule.mName);
      }
    }
    for (const std::string& name : names) {
      Compare(DifferenceKind::Policy, name, RuleText);
    }
  }

  [[nodiscard]] std::vector<Difference> Collected() const { return mCollected; }

private:
  void Add(Difference aDifference)
  {
    if (aDifference.mBefore != aDifference.mAfter) {
      mCollected.push_back(std::move(aDifference));
    }
  }

  void Compare(DifferenceKind aKind, const std::string& aName, Lookup aLookup)
  {
    Add({ aKind, aName, "", aLookup(mBefore, aName), aLookup(mAfter, aName) });
  }

  void AddLabel(const LabelSubject& aSubject, const std::string& aKey)
  {
    const TargetName* target = std::get_if<TargetName>(&aSubject);
    Add({ target ? DifferenceKind::TargetLabel : DifferenceKind::DomainLabel,
          target ? target->value() : std::get<FailureDomain>(aSubject).value(),
          aKey,
          LabelText(mBefore, aSubject, aKey),
          LabelText(mAfter, aSubject, aKey) });
  }

  [[nodiscard]] static std::optional<std::string> LabelText(
    const ConfigurationContent& aContent,
    const LabelSubject& aSubject,
    const std::string& aKey)
  {
    const LabelSet& labels = LabelsOf(aContent, aSubject);
    const auto found = labels.find(aKey);
    return found == labels.end() ? std::nullopt : std::optional(found->second);
  }

  const ConfigurationContent& mBefore;
  const ConfigurationContent& mAfter;
  std::vector<Difference> mCollected;
};

} // namespace

std::vector<Difference>
DifferencesOf(const Edit& aEdit,
              const ConfigurationContent& aBefore,
              const ConfigurationContent& aAfter)
{
  DifferenceCollector collector(aBefore, aAfter);
  std::visit([&collector](const auto& aKind) { collector(aKind); }, aEdit);
  return collector.Collected();
}

} // namespace verbenachute
