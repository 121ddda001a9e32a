#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute::standins {

/// The faults that the platform is told to have.
struct Faults
{
  enum class Outage
  {
    None,
    /// Each call is answered by 503.
    Errors,
    /// No call is answered.
    Silence,
  };

  Outage mOutage = Outage::None;
  /// Delay of each answer.
  Duration mDelay{ 0 };
  /// Number of writes to come that take effect while their reply is lost.
  std::uint64_t mRepliesToLose = 0;
};

} // namespace verbenachute::standins
