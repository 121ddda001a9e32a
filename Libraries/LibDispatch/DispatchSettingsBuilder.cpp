#include <LibDispatch/DispatchSettingsBuilder.h>

#include <algorithm>

namespace verbenachute {

namespace {

Error
InvalidSetting(const char* aMessage)
{
  return Error{ Step::Settings, ErrorCode::InvalidInput, "", aMessage };
}

} // namespace

DispatchSettingsBuilder&
DispatchSettingsBuilder::LongestRun(Duration aLongestRun)
{
  mSettings.mLongestRun = aLongestRun;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::DriftPercent(std::uint32_t aDriftPercent)
{
  mSettings.mDriftPercent = aDriftPercent;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::QueueLimit(std::size_t aLimit)
{
  mSettings.mQueueLimit = aLimit;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::ProbeInterval(Duration aInterval)
{
  mSettings.mProbeInterval = aInterval;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::ProbeTimeout(Duration aTimeout)
{
  mSettings.mProbeTimeout = aTimeout;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::ClassWeight(const CallerClass& aClass,
                                     std::uint32_t aWeight)
{
  mSettings.mClassWeights[aClass] = aWeight;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::Pause(Duration aPause)
{
  mSettings.mPause = aPause;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::Conviction(Duration aConviction)
{
  mSettings.mConviction = aConviction;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::TrialDelay(Duration aDelay)
{
  mSettings.mTrialDelay = aDelay;
  return *this;
}

DispatchSettingsBuilder&
DispatchSettingsBuilder::PoisonLimit(std::size_t aLimit)
{
  mSettings.mPoisonLimit = aLimit;
  return *this;
}

Result<DispatchSettings>
DispatchSettingsBuilder::Build() const
{
  const Duration shortest = std::min({ mSettings.mLongestRun,
                                       mSettings.mProbeInterval,
                                       mSettings.mProbeTimeout,
                                       mSettings.mPause,
                                       mSettings.mConviction });
  if (shortest.count() <= 0) {
    return InvalidSetting("the times of the gate must be positive");
  }
  if (mSettings.mQueueLimit == 0 || mSettings.mPoisonLimit == 0) {
    return InvalidSetting("the limits of the gate must be positive");
  }
  if (mSettings.mTrialDelay >= mSettings.mSuspicion) {
    return InvalidSetting("a suspicion would end before its trial");
  }
  return mSettings;
}

} // namespace verbenachute
