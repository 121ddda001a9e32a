#include <LibConfiguration/ConfigurationChecks.h>

#include <LibConfiguration/NameRules.h>
#include <LibCore/SocketAddressText.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr std::uint32_t kLargestSlots = 10'000;
constexpr std::uint32_t kLargestConnections = 100'000;

Error
Invalid(std::string aMessage)
{
  return Error{
    Step::Configuration, ErrorCode::InvalidInput, "", std::move(aMessage)
  };
}

Result<Success>
CheckLabels(const LabelSet& aLabels)
{
  for (const auto& [key, value] : aLabels) {
    Result<Success> checked = CheckLabel(key, value);
    if (IsError(checked)) {
      return checked;
    }
  }
  return Success{};
}

/// A target of an unchanged table has been checked already, so only what
/// refers to other sections is checked again.
Result<Success>
CheckTargets(const ConfigurationContent& aContent)
{
  for (const TargetEntry& target : aContent.mTargets->Entries()) {
    if (!aContent.mDomains.contains(target.mDomain)) {
      return Invalid("target '" + target.mName.value() +
                     "' names the unknown failure domain '" +
                     target.mDomain.value() + "'");
    }
  }
  return Success{};
}

Result<Success>
CheckNames(const char* aWhat, const std::set<std::string>& aNames)
{
  for (const std::string& name : aNames) {
    if (name == "*") {
      continue;
    }
    Result<Success> checked = CheckName(aWhat, name);
    if (IsError(checked)) {
      return checked;
    }
  }
  return Success{};
}

} // namespace

Result<Success>
CheckDomain(const DomainEntry& aDomain)
{
  Result<Success> name = CheckName("failure domain", aDomain.mName.value());
  return IsError(name) ? name : CheckName("region", aDomain.mRegion.value());
}

Result<Success>
CheckTarget(const TargetEntry& aTarget, const ConfigurationContent& aContent)
{
  Result<Success> name = CheckName("target", aTarget.mName.value());
  if (IsError(name)) {
    return name;
  }
  Result<Success> service = CheckName("service", aTarget.mService.value());
  if (IsError(service)) {
    return service;
  }
  const std::string quoted = "target '" + aTarget.mName.value() + "'";
  if (!aContent.mDomains.contains(aTarget.mDomain)) {
    return Invalid(quoted + " names the unknown failure domain '" +
                   aTarget.mDomain.value() + "'");
  }
  if (IsError(ParseSocketAddress(SocketAddressText(aTarget.mAddress)))) {
    return Invalid(quoted + " has no address of the form IP:PORT");
  }
  if (aTarget.mSlots < 1 || aTarget.mSlots > kLargestSlots) {
    return Invalid(quoted + " must have 1 to " + std::to_string(kLargestSlots) +
                   " slots");
  }
  if (aTarget.mConnections < 1 || aTarget.mConnections > kLargestConnections) {
    return Invalid(quoted + " must have 1 to " +
                   std::to_string(kLargestConnections) + " connections");
  }
  return Success{};
}

Result<Success>
CheckLabel(std::string_view aKey, std::string_view aValue)
{
  if (IsBuiltInKey(aKey)) {
    return Invalid("label key '" + std::string(aKey) +
                   "' is built in and can't be set");
  }
  Result<Success> key = CheckName("label key", aKey);
  return IsError(key) ? key : CheckName("label value", aValue);
}

Result<Success>
CheckSelector(const Selector& aSelector)
{
  Result<Success> name = CheckName("selector", aSelector.mName);
  if (IsError(name)) {
    return name;
  }
  const bool servesOnly = aSelector.mEffect == SelectorEffect::ServeOnly;
  if (servesOnly == aSelector.mCallers.empty()) {
    return Invalid("selector '" + aSelector.mName +
                   (servesOnly ? "' must name the callers that are served"
                               : "' must name no callers"));
  }
  for (const CallerId& caller : aSelector.mCallers) {
    Result<Success> checked = CheckName("caller", caller.value());
    if (IsError(checked)) {
      return checked;
    }
  }
  return Success{};
}

Result<Success>
CheckPolicy(const std::vector<SteeringRule>& aRules)
{
  std::set<std::string> names;
  for (const SteeringRule& rule : aRules) {
    if (!names.insert(rule.mName).second) {
      return Invalid("steering rule '" + rule.mName + "' stands twice");
    }
    if (rule.mOperators.empty() || rule.mScopes.empty()) {
      return Invalid("steering rule '" + rule.mName +
                     "' must name operators and scopes");
    }
    for (const Result<Success>& checked :
         { CheckName("steering rule", rule.mName),
           CheckNames("operator", rule.mOperators),
           CheckNames("label key", rule.mLabelKeys),
           CheckNames("failure domain", rule.mDomains) }) {
      if (IsError(checked)) {
        return checked;
      }
    }
  }
  return Success{};
}

Result<Success>
CheckContent(const ConfigurationContent& aContent)
{
  for (const auto& [name, domain] : aContent.mDomains) {
    Result<Success> checked = CheckDomain(domain);
    if (IsError(checked)) {
      return checked;
    }
  }
  for (const auto& [domain, labels] : aContent.mDomainLabels) {
    if (!aContent.mDomains.contains(domain)) {
      return Invalid("labels name the unknown failure domain '" +
                     domain.value() + "'");
    }
    Result<Success> checked = CheckLabels(labels);
    if (IsError(checked)) {
      return checked;
    }
  }
  for (const auto& [name, selector] : aContent.mSelectors) {
    Result<Success> checked = CheckSelector(selector);
    if (IsError(checked)) {
      return checked;
    }
  }
  Result<Success> policy = CheckPolicy(aContent.mPolicy);
  return IsError(policy) ? policy : CheckTargets(aContent);
}

} // namespace verbenachute
