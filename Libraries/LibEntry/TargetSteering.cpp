#include <LibEntry/TargetSteering.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

bool
HoldsBack(const Configuration& aIntent)
{
  const ConfigurationContent& content = aIntent.Content();
  return !content.mSelectors.empty() ||
         std::any_of(content.mDomains.begin(),
                     content.mDomains.end(),
                     [](const auto& aDomain) {
                       return aDomain.second.mState == DomainState::Out;
                     });
}

} // namespace

TargetSteering::TargetSteering(ListTargets aListTargets)
  : mListTargets(std::move(aListTargets))
{
}

void
TargetSteering::SetIntent(std::shared_ptr<const Configuration> aIntent)
{
  mIntent = std::move(aIntent);
  mSteers = mIntent != nullptr && HoldsBack(*mIntent);
  mWhole.reset();
}

const std::shared_ptr<const Configuration>&
TargetSteering::Whole()
{
  if (!mWhole) {
    Result<std::shared_ptr<const Configuration>> whole =
      WithListing(mIntent, mListTargets());
    // The intent was checked before and listed targets that fail are left out.
    VERIFY(!IsError(whole));
    mWhole = TakeValue(std::move(whole));
  }
  return mWhole;
}

bool
TargetSteering::Admits(const ListedTarget& aTarget, const CallerId& aCaller)
{
  if (!mSteers) {
    return true;
  }
  return Whole()->MayTakeNewWork(aTarget.mName, aCaller).mAdmittance ==
         Admittance::Admitted;
}

} // namespace verbenachute
