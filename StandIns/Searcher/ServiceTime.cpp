#include "ServiceTime.h"

#include <LibCore/RendezvousHash.h>

#include <algorithm>
#include <cmath>

namespace verbenachute::standins {

ServiceTime::ServiceTime(const TargetSettings& aSettings, std::uint64_t aSeed)
  // Each target has a sequence of its own, whatever process hosts it.
  : mRandom(aSeed ^ StableHash(aSettings.mName.value()))
  , mDistribution(
      std::log(
        std::max(1.0, static_cast<double>(aSettings.mMedianService.count()))),
      aSettings.mSigma)
{
}

void
ServiceTime::SetStragglers(double aProbability, double aFactor)
{
  mStragglerProbability = aProbability;
  mStragglerFactor = aFactor;
}

Duration
ServiceTime::Draw()
{
  double time = mDistribution(mRandom) * mFactor;
  std::uniform_real_distribution<double> share(0, 1);
  if (share(mRandom) < mStragglerProbability) {
    time *= mStragglerFactor;
  }
  return Duration(static_cast<Duration::rep>(time));
}

} // namespace verbenachute::standins
