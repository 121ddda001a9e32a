#pragma once

#include <chrono>
#include <cstdint>

namespace verbenachute {

using Duration = std::chrono::microseconds;

/// Clock of one process that never goes back. Instants of two processes can
/// not be compared; messages between processes carry durations instead.
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

/// Source of time at the edge. Decision logic takes an Instant instead.
class Clock
{
public:
  virtual ~Clock() = default;
  [[nodiscard]] virtual Instant Now() const = 0;
  [[nodiscard]] virtual UnixMilliseconds WallTime() const = 0;
};

} // namespace verbenachute
