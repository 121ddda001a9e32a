#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Estimates what this node uses of its processor from the attempts that it
/// sends. The clock of processor time is not used: on some VMs it tells the
/// time that passed instead.
class LoadMeter
{
public:
  void OnSent() { ++mSent; }
  /// Thousandths of a core, averaged over about a second. Call it a few times
  /// a second.
  [[nodiscard]] std::uint32_t Used(Instant aNow);

private:
  std::uint64_t mSent = 0;
  Instant mLast;
  double mAverage = 0;
};

} // namespace verbenachute
