#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Measures what this process uses of a core, averaged over about a second.
class ProcessorMeter
{
public:
  /// Thousandths of a core since about a second before.
  [[nodiscard]] std::uint32_t Used(Instant aNow);

private:
  Instant mLast;
  Duration mLastTime{ 0 };
  double mAverage = 0;
};

} // namespace verbenachute
