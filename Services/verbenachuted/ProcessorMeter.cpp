#include "ProcessorMeter.h"

#include <algorithm>
#include <ctime>

namespace verbenachute {

namespace {

// Weight of a new sample, at four samples a second.
constexpr double kSampleWeight = 0.25;

Duration
ProcessorTime()
{
  timespec used{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &used);
  return std::chrono::duration_cast<Duration>(
    seconds(used.tv_sec) + std::chrono::nanoseconds(used.tv_nsec));
}

} // namespace

std::uint32_t
ProcessorMeter::Used(Instant aNow)
{
  const Duration time = ProcessorTime();
  if (mLast != Instant() && aNow > mLast) {
    const double used = 1000.0 *
                        static_cast<double>((time - mLastTime).count()) /
                        static_cast<double>((aNow - mLast).count());
    mAverage += kSampleWeight * (std::max(used, 0.0) - mAverage);
  }
  mLast = aNow;
  mLastTime = time;
  return static_cast<std::uint32_t>(mAverage);
}

} // namespace verbenachute
