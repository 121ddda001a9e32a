#include <LibEntry/LoadMeter.h>

#include <utility>

namespace verbenachute {

namespace {

// Processor time of an attempt with its share of everything else, in
// thousandths of a core for one attempt a second (docs/MEASUREMENTS.md: 75 us
// on the quiet day of vialtec-busqueda).
constexpr double kUsedPerAttempt = 0.075;
// Weight of a new sample, at four samples a second.
constexpr double kSampleWeight = 0.25;

} // namespace

std::uint32_t
LoadMeter::Used(Instant aNow)
{
  const std::uint64_t sent = std::exchange(mSent, 0);
  if (mLast != Instant() && aNow > mLast) {
    const double elapsed = std::chrono::duration<double>(aNow - mLast).count();
    const double used = kUsedPerAttempt * static_cast<double>(sent) / elapsed;
    mAverage += kSampleWeight * (used - mAverage);
  }
  mLast = aNow;
  return static_cast<std::uint32_t>(mAverage);
}

} // namespace verbenachute
