#include "LatencySamples.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/density.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace verbenachute::load {

namespace {

namespace acc = boost::accumulators;

constexpr double kMicrosecondsPerMillisecond = 1000;
constexpr std::size_t kBins = 16;
constexpr double kBarWidth = 50;
constexpr double kLeastMilliseconds = 0.001;

std::string
Bar(double aLower, double aShare)
{
  char line[128];
  std::snprintf(line,
                sizeof(line),
                "  %9.1f ms  %5.1f%%  ",
                std::pow(10.0, aLower),
                aShare * 100);
  return line + std::string(static_cast<std::size_t>(aShare * kBarWidth), '#') +
         '\n';
}

} // namespace

void
LatencySamples::Add(Duration aLatency)
{
  mMilliseconds.push_back(static_cast<double>(aLatency.count()) /
                          kMicrosecondsPerMillisecond);
}

double
LatencySamples::Quantile(double aShare) const
{
  if (mMilliseconds.empty()) {
    return 0;
  }
  std::vector<double> sorted = mMilliseconds;
  const std::size_t rank = std::min(
    sorted.size() - 1,
    static_cast<std::size_t>(aShare * static_cast<double>(sorted.size())));
  std::nth_element(sorted.begin(),
                   sorted.begin() + static_cast<std::ptrdiff_t>(rank),
                   sorted.end());
  return sorted[rank];
}

std::string
LatencySamples::Histogram() const
{
  using Density = acc::accumulator_set<double, acc::stats<acc::tag::density>>;
  if (mMilliseconds.empty()) {
    return "";
  }
  // With all samples in its cache the bins span the whole range.
  Density density(acc::density_cache_size = mMilliseconds.size(),
                  acc::density_num_bins = kBins);
  for (const double value : mMilliseconds) {
    density(std::log10(std::max(value, kLeastMilliseconds)));
  }
  std::string text;
  for (const auto& [lower, share] : acc::density(density)) {
    if (share > 0) {
      text += Bar(lower, share);
    }
  }
  return text;
}

} // namespace verbenachute::load
