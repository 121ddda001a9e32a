#pragma once

#include <LibCore/Error.h>
#include <LibDispatch/DispatchSettings.h>

namespace verbenachute {

/// Builds DispatchSettings; what is not set keeps its default.
class DispatchSettingsBuilder
{
public:
  DispatchSettingsBuilder& LongestRun(Duration aLongestRun);
  DispatchSettingsBuilder& DriftPercent(std::uint32_t aDriftPercent);
  DispatchSettingsBuilder& QueueLimit(std::size_t aLimit);
  DispatchSettingsBuilder& ProbeInterval(Duration aInterval);
  DispatchSettingsBuilder& ProbeTimeout(Duration aTimeout);
  DispatchSettingsBuilder& ClassWeight(const CallerClass& aClass,
                                       std::uint32_t aWeight);
  DispatchSettingsBuilder& Pause(Duration aPause);
  DispatchSettingsBuilder& Conviction(Duration aConviction);
  DispatchSettingsBuilder& TrialDelay(Duration aDelay);
  DispatchSettingsBuilder& PoisonLimit(std::size_t aLimit);

  /// InvalidInput at the step Settings if a time or a limit is not positive or
  /// a suspicion would end before it can be tried.
  [[nodiscard]] Result<DispatchSettings> Build() const;

private:
  DispatchSettings mSettings;
};

} // namespace verbenachute
