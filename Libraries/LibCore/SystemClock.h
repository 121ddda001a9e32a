#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// The clocks of the operating system.
class SystemClock final : public Clock
{
public:
  [[nodiscard]] Instant Now() const override;
  [[nodiscard]] UnixMilliseconds WallTime() const override;
};

} // namespace verbenachute
