#include <LibQuota/QuotaRule.h>

namespace verbenachute {

double
QuotaRule::WithinQuota(const Quota& aQuota) const
{
  const std::chrono::duration<double> window = mWindow;
  return aQuota.mRate * window.count() + aQuota.mBurst;
}

double
QuotaRule::Excess(const Quota& aQuota) const
{
  return mOvershoot * WithinQuota(aQuota) + mSlack;
}

} // namespace verbenachute
