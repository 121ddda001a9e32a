#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Estimates the CPU usage of this node from the attempts that it sends. The
/// CPU clock of the process is not used, because on some VMs it returns the
/// elapsed time instead.
class CpuUsageEstimator
{
public:
  void OnSent() { ++mSentAttempts; }
  /// CPU usage in thousandths of a core, averaged over about a second; 0 on the
  /// first call. To be called a few times per second.
  [[nodiscard]] std::uint32_t Millicores(Instant aNow);

private:
  std::uint64_t mSentAttempts = 0;
  Instant mLastCall;
  double mMillicores = 0;
};

} // namespace verbenachute
