#pragma once

#include "TargetSettings.h"

#include <pcg_random.hpp>

#include <random>

namespace verbenachute::standins {

/// Draws the service times of one searcher from its own seeded sequence.
class ServiceTime
{
public:
  ServiceTime(const TargetSettings& aSettings, std::uint64_t aSeed);

  /// Every drawn time is multiplied by this.
  void SetFactor(double aFactor) { mFactor = aFactor; }
  /// The share aProbability of the draws is multiplied by aFactor on top.
  void SetStragglers(double aProbability, double aFactor);

  [[nodiscard]] Duration Draw();

private:
  pcg64 mRandom;
  std::lognormal_distribution<double> mDistribution;
  double mFactor = 1;
  double mStragglerProbability = 0;
  double mStragglerFactor = 1;
};

} // namespace verbenachute::standins
