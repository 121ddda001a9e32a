#include <LibEntry/CpuUsageEstimator.h>

#include <utility>

namespace verbenachute {

namespace {

// CPU usage of one attempt per second, including its share of all other work,
// in thousandths of a core: 75 us per attempt (docs/MEASUREMENTS.md).
constexpr double kMillicoresPerAttempt = 0.075;
// Weight of a new sample, at four samples per second.
constexpr double kSampleWeight = 0.25;

} // namespace

std::uint32_t
CpuUsageEstimator::Millicores(Instant aNow)
{
  const std::uint64_t sent = std::exchange(mSentAttempts, 0);
  if (mLastCall != Instant() && aNow > mLastCall) {
    const double elapsed =
      std::chrono::duration<double>(aNow - mLastCall).count();
    const double used =
      kMillicoresPerAttempt * static_cast<double>(sent) / elapsed;
    mMillicores += kSampleWeight * (used - mMillicores);
  }
  mLastCall = aNow;
  return static_cast<std::uint32_t>(mMillicores);
}

} // namespace verbenachute
