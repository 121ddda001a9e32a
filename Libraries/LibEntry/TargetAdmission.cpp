#include <LibEntry/TargetAdmission.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

bool
RestrictsTargets(const Configuration& aConfiguration)
{
  const ConfigurationContent& content = aConfiguration.Content();
  return !content.mSelectors.empty() ||
         std::any_of(content.mDomains.begin(),
                     content.mDomains.end(),
                     [](const auto& aDomain) {
                       return aDomain.second.mState == DomainState::Out;
                     });
}

} // namespace

TargetAdmission::TargetAdmission(ListTargets aListTargets)
  : mListTargets(std::move(aListTargets))
{
}

void
TargetAdmission::SetConfiguration(
  std::shared_ptr<const Configuration> aConfiguration)
{
  mConfiguration = std::move(aConfiguration);
  mRestricts = mConfiguration != nullptr && RestrictsTargets(*mConfiguration);
  mConfigurationWithTargets.reset();
}

const std::shared_ptr<const Configuration>&
TargetAdmission::ConfigurationWithTargets()
{
  if (!mConfigurationWithTargets) {
    Result<std::shared_ptr<const Configuration>> merged =
      WithListing(mConfiguration, mListTargets());
    // The configuration was validated before, and listed targets that are
    // invalid are left out.
    VERIFY(!IsError(merged));
    mConfigurationWithTargets = ReleaseValue(std::move(merged));
  }
  return mConfigurationWithTargets;
}

bool
TargetAdmission::Admits(const ListedTarget& aTarget, const CallerId& aCaller)
{
  if (!mRestricts) {
    return true;
  }
  return ConfigurationWithTargets()
           ->MayTakeNewWork(aTarget.mName, aCaller)
           .mAdmittance == Admittance::Admitted;
}

} // namespace verbenachute
