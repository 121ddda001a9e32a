#include "Measurement.h"

#include <algorithm>
#include <array>
#include <ctime>

namespace verbenachute {

namespace {

constexpr std::size_t kRepetitions = 5;
constexpr double kNanosecondsPerSecond = 1e9;

double
ProcessorNanoseconds()
{
  timespec now{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(now.tv_nsec);
}

} // namespace

double
MedianNanoseconds(std::size_t aOperations, const std::function<void()>& aRun)
{
  std::array<double, kRepetitions> times{};
  for (double& time : times) {
    const double start = ProcessorNanoseconds();
    aRun();
    time = (ProcessorNanoseconds() - start) / static_cast<double>(aOperations);
  }
  std::sort(times.begin(), times.end());
  return times[kRepetitions / 2];
}

} // namespace verbenachute
