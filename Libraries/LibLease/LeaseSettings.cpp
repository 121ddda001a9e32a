#include <LibLease/LeaseSettings.h>

namespace verbenachute {

Duration
LeaseSettings::VoterDuration() const
{
  // The drift counts for the lease and for the run that follows it, since
  // both are measured with the holder's clock.
  const Duration span = mDuration + mLongestRun;
  return span + span * mDriftPercent / 100;
}

Duration
LeaseSettings::RunWithDrift() const
{
  return mLongestRun + mLongestRun * mDriftPercent / 100;
}

} // namespace verbenachute
