#pragma once

#include <chrono>
#include <cstdint>

namespace verbenachute {

using Duration = std::chrono::microseconds;

/// Monotonic clock of one process. Instants of different processes can not be
/// compared; messages between processes carry durations instead.
struct MonotonicClock
{
  using duration = Duration;
  using rep = Duration::rep;
  using period = Duration::period;
  using time_point = std::chrono::time_point<MonotonicClock, Duration>;
};

using Instant = MonotonicClock::time_point;

/// Milliseconds since the Unix epoch, for fields that leave the process.
using UnixMilliseconds = std::chrono::milliseconds;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Source of the current time for the code that does I/O. Decision logic takes
/// an Instant as a parameter instead.
class Clock
{
public:
  virtual ~Clock() = default;
  /// Monotonic time of this process.
  [[nodiscard]] virtual Instant Now() const = 0;
  /// Time of day; can jump when the system clock is set.
  [[nodiscard]] virtual UnixMilliseconds WallTime() const = 0;
};

} // namespace verbenachute
