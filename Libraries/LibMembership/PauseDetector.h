#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

/// Notices that this process did not run for a while, from the gap between
/// two calls of a timer that is due far more often.
class PauseDetector
{
public:
  /// aLongest is the longest gap that counts as running.
  explicit PauseDetector(Duration aLongest)
    : mLongest(aLongest)
  {
  }

  /// Called first in each turn of the timer. Returns the length of a pause
  /// that has just ended.
  [[nodiscard]] std::optional<Duration> Observe(Instant aNow)
  {
    const std::optional<Instant> last = mLast;
    mLast = aNow;
    if (!last || aNow - *last <= mLongest) {
      return std::nullopt;
    }
    return aNow - *last;
  }

private:
  Duration mLongest;
  std::optional<Instant> mLast;
};

} // namespace verbenachute
