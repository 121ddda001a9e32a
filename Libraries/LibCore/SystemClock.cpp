#include <LibCore/SystemClock.h>

#include <ctime>

namespace verbenachute {

Instant
SystemClock::Now() const
{
  // CLOCK_BOOTTIME advances while a VM is suspended, so a lease also expires
  // for a holder that was suspended together with its VM.
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  return Instant(std::chrono::duration_cast<Duration>(
    seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec)));
}

UnixMilliseconds
SystemClock::WallTime() const
{
  return std::chrono::duration_cast<UnixMilliseconds>(
    std::chrono::system_clock::now().time_since_epoch());
}

} // namespace verbenachute
