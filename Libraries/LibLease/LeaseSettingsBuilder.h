#pragma once

#include <LibCore/Error.h>
#include <LibLease/LeaseSettings.h>

namespace verbenachute {

/// Builds LeaseSettings; what is not set keeps its default.
class LeaseSettingsBuilder
{
public:
  LeaseSettingsBuilder& Duration(verbenachute::Duration aDuration);
  LeaseSettingsBuilder& Renewal(verbenachute::Duration aRenewal);
  LeaseSettingsBuilder& DriftPercent(std::uint32_t aDriftPercent);
  LeaseSettingsBuilder& LongestRun(verbenachute::Duration aLongestRun);
  LeaseSettingsBuilder& Pause(verbenachute::Duration aPause);
  LeaseSettingsBuilder& Settling(verbenachute::Duration aSettling);

  /// InvalidInput at the step Settings if a time is not positive or a lease
  /// leaves no room for two renewals.
  [[nodiscard]] Result<LeaseSettings> Build() const;

private:
  LeaseSettings mSettings;
};

} // namespace verbenachute
