#include <LibConfiguration/EditApplication.h>

#include <LibConfiguration/ConfigurationChecks.h>
#include <LibCore/Overloaded.h>

namespace verbenachute {

namespace {

Error
Fault(ErrorCode aCode, std::string aMessage)
{
  return Error{ Step::Configuration, aCode, "", std::move(aMessage) };
}

Error
NotRegistered(const char* aKind, const std::string& aName)
{
  return Fault(ErrorCode::NotFound,
               std::string(aKind) + " '" + aName + "' is not registered");
}

/// Applies edits, with one overload for each kind.
class EditApplier
{
public:
  explicit EditApplier(ConfigurationContent* aContent)
    : mContent(aContent)
  {
  }

  Result<Success> operator()(const SetLabel& aSet)
  {
    Result<Success> checked = CheckLabel(aSet.mKey, aSet.mValue);
    if (IsError(checked)) {
      return checked;
    }
    return ChangeLabels(aSet.mSubject, [&aSet](LabelSet* aLabels) {
      aLabels->insert_or_assign(aSet.mKey, aSet.mValue);
    });
  }

  Result<Success> operator()(const ClearLabel& aClear)
  {
    return ChangeLabels(aClear.mSubject, [&aClear](LabelSet* aLabels) {
      aLabels->erase(aClear.mKey);
    });
  }

  Result<Success> operator()(const SetSelector& aSet)
  {
    Result<Success> checked = CheckSelector(aSet.mSelector);
    if (!IsError(checked)) {
      mContent->mSelectors.insert_or_assign(aSet.mSelector.mName,
                                            aSet.mSelector);
    }
    return checked;
  }

  Result<Success> operator()(const RemoveSelector& aRemove)
  {
    if (mContent->mSelectors.erase(aRemove.mName) == 0) {
      return Fault(ErrorCode::NotFound,
                   "there is no selector '" + aRemove.mName + "'");
    }
    return Success{};
  }

  Result<Success> operator()(const TakeDomainOut& aTake)
  {
    return ChangeDomain(aTake.mDomain, DomainState::Out);
  }

  Result<Success> operator()(const BringDomainIn& aBring)
  {
    return ChangeDomain(aBring.mDomain, DomainState::In);
  }

  Result<Success> operator()(const RegisterDomain& aRegister)
  {
    const DomainEntry domain{ aRegister.mDomain,
                              aRegister.mRegion,
                              DomainState::In };
    Result<Success> checked = CheckDomain(domain);
    if (IsError(checked)) {
      return checked;
    }
    const auto [known, added] =
      mContent->mDomains.emplace(domain.mName, domain);
    if (!added && known->second.mRegion != domain.mRegion) {
      return Fault(ErrorCode::Conflict,
                   "the region of failure domain '" + domain.mName.value() +
                     "' can't be changed");
    }
    return Success{};
  }

  Result<Success> operator()(const RegisterTarget& aRegister)
  {
    const TargetEntry& target = aRegister.mTarget;
    Result<Success> checked = CheckTarget(target, *mContent);
    if (IsError(checked)) {
      return checked;
    }
    const TargetEntry* known = mContent->mTargets->Find(target.mName);
    if (known && known->mDomain != target.mDomain) {
      return Fault(ErrorCode::Conflict,
                   "the failure domain of target '" + target.mName.value() +
                     "' can't be changed; register it under another name");
    }
    if (!known || *known != target) {
      mContent->mTargets = mContent->mTargets->With(target);
    }
    return Success{};
  }

  Result<Success> operator()(const RemoveTarget& aRemove)
  {
    if (!mContent->mTargets->Find(aRemove.mTarget)) {
      return NotRegistered("target", aRemove.mTarget.value());
    }
    mContent->mTargets = mContent->mTargets->Without(aRemove.mTarget);
    mContent->mTargetLabels.Set(aRemove.mTarget, {});
    return Success{};
  }

  Result<Success> operator()(const SetPolicy& aSet)
  {
    Result<Success> checked = CheckPolicy(aSet.mRules);
    if (!IsError(checked)) {
      mContent->mPolicy = aSet.mRules;
    }
    return checked;
  }

private:
  template<typename Function>
  Result<Success> ChangeLabels(const LabelSubject& aSubject,
                               const Function& aChange)
  {
    if (const TargetName* target = std::get_if<TargetName>(&aSubject)) {
      if (!mContent->mTargets->Find(*target)) {
        return NotRegistered("target", target->value());
      }
      LabelSet labels = mContent->mTargetLabels.LabelsOf(*target);
      aChange(&labels);
      mContent->mTargetLabels.Set(*target, std::move(labels));
      return Success{};
    }
    const FailureDomain& domain = std::get<FailureDomain>(aSubject);
    if (!mContent->mDomains.contains(domain)) {
      return NotRegistered("failure domain", domain.value());
    }
    LabelSet& labels = mContent->mDomainLabels[domain];
    aChange(&labels);
    if (labels.empty()) {
      mContent->mDomainLabels.erase(domain);
    }
    return Success{};
  }

  Result<Success> ChangeDomain(const FailureDomain& aDomain, DomainState aState)
  {
    const auto found = mContent->mDomains.find(aDomain);
    if (found == mContent->mDomains.end()) {
      return NotRegistered("failure domain", aDomain.value());
    }
    found->second.mState = aState;
    return Success{};
  }

  ConfigurationContent* mContent;
};

} // namespace

Result<Success>
ApplyEdit(const Edit& aEdit, ConfigurationContent* aContent)
{
  return std::visit(EditApplier(aContent), aEdit);
}

} // namespace verbenachute
