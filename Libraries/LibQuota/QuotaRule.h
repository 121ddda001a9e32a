#pragma once

#include <LibCore/Time.h>
#include <LibRouting/Tenant.h>

namespace verbenachute {

/// How far the requests of a tenant may exceed its quota in a window, over all
/// nodes together.
struct QuotaRule
{
  Duration mWindow = seconds(5);
  /// Share of the quota.
  double mOvershoot = 0;
  /// Requests.
  double mSlack = 0;

  /// Requests within the quota in one window.
  [[nodiscard]] double WithinQuota(const Quota& aQuota) const;
  /// Requests beyond the quota that are tolerated in one window.
  [[nodiscard]] double Excess(const Quota& aQuota) const;
};

} // namespace verbenachute
