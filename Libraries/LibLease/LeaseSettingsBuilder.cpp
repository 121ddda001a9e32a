#include <LibLease/LeaseSettingsBuilder.h>

namespace verbenachute {

namespace {

/// Rounds of requests that may be lost before a lease lapses.
constexpr int kRoundsPerLease = 2;
constexpr std::uint32_t kMaxDriftPercent = 50;

Error
InvalidSetting(const char* aMessage)
{
  return Error{ Step::Settings, ErrorCode::InvalidInput, "", aMessage };
}

} // namespace

LeaseSettingsBuilder&
LeaseSettingsBuilder::Duration(verbenachute::Duration aDuration)
{
  mSettings.mDuration = aDuration;
  return *this;
}

LeaseSettingsBuilder&
LeaseSettingsBuilder::Renewal(verbenachute::Duration aRenewal)
{
  mSettings.mRenewal = aRenewal;
  return *this;
}

LeaseSettingsBuilder&
LeaseSettingsBuilder::DriftPercent(std::uint32_t aDriftPercent)
{
  mSettings.mDriftPercent = aDriftPercent;
  return *this;
}

LeaseSettingsBuilder&
LeaseSettingsBuilder::LongestRun(verbenachute::Duration aLongestRun)
{
  mSettings.mLongestRun = aLongestRun;
  return *this;
}

LeaseSettingsBuilder&
LeaseSettingsBuilder::Pause(verbenachute::Duration aPause)
{
  mSettings.mPause = aPause;
  return *this;
}

LeaseSettingsBuilder&
LeaseSettingsBuilder::Settling(verbenachute::Duration aSettling)
{
  mSettings.mSettling = aSettling;
  return *this;
}

Result<LeaseSettings>
LeaseSettingsBuilder::Build() const
{
  if (mSettings.mRenewal.count() <= 0 || mSettings.mLongestRun.count() <= 0 ||
      mSettings.mPause.count() <= 0 || mSettings.mSettling.count() < 0) {
    return InvalidSetting("the times of a lease must be positive");
  }
  if (mSettings.mDuration < mSettings.mRenewal * kRoundsPerLease) {
    return InvalidSetting("a lease must outlast two renewals");
  }
  if (mSettings.mDriftPercent > kMaxDriftPercent) {
    return InvalidSetting("the drift of clocks exceeds 50 percent");
  }
  return mSettings;
}

} // namespace verbenachute
