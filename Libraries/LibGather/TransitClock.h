#pragma once

#include <LibCore/Time.h>

#include <array>
#include <optional>

namespace verbenachute {

/// Finds out how long a message lay on its way or unread, beyond the fastest
/// message of the last seconds of the same link. The steady clocks of two nodes
/// have different origins, but their difference stays the same: what a message
/// takes longer than the fastest one it has waited for.
class TransitClock
{
public:
  /// aSent is the sender's clock, aNow this node's.
  [[nodiscard]] Duration Waited(Duration aSent, Instant aNow);

  /// A clock that stood still while its VM was suspended is followed after
  /// twice this time at the latest.
  static constexpr Duration kWindow = seconds(5);

private:
  std::optional<Instant> mWindowBegan;
  /// Least difference of the present window and of the one before.
  std::array<std::optional<Duration>, 2> mLeast;
};

} // namespace verbenachute
