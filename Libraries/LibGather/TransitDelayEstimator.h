#pragma once

#include <LibCore/Time.h>

#include <array>
#include <optional>

namespace verbenachute {

/// Estimates how long a message was in transit or unread, beyond the fastest
/// message of the last seconds on the same link. The steady clocks of two nodes
/// have different origins but a constant difference, so that the time that a
/// message takes longer than the fastest one is time it has waited.
class TransitDelayEstimator
{
public:
  /// Returns the time that a message has waited; the first message of a link
  /// counts as the fastest. aSentTime is the sender's clock, aNow this node's.
  [[nodiscard]] Duration ExcessDelay(Duration aSentTime, Instant aNow);

  /// A jump between the clocks, such as by the suspension of a VM, is corrected
  /// after at most twice this time.
  static constexpr Duration kWindow = seconds(5);

private:
  std::optional<Instant> mWindowStart;
  /// Minimum difference of the clocks in the current window and in the previous
  /// one.
  std::array<std::optional<Duration>, 2> mMinDifferences;
};

} // namespace verbenachute
