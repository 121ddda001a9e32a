#pragma once

#include "LoadSettings.h"
#include "PlannedRequest.h"

#include <pcg_random.hpp>

#include <random>

namespace verbenachute::load {

/// Draws the arrivals of an open-loop Poisson process and their requests. The
/// sequence follows from the seed alone.
class Workload
{
public:
  explicit Workload(const LoadSettings& aSettings);

  /// Time from one arrival to the next.
  [[nodiscard]] Duration NextGap();
  [[nodiscard]] PlannedRequest NextRequest();

private:
  [[nodiscard]] double Share();

  const LoadSettings& mSettings;
  pcg64 mRandom;
  std::exponential_distribution<double> mGap;
  std::discrete_distribution<std::size_t> mService;
  std::uint64_t mNumber = 0;
};

} // namespace verbenachute::load
