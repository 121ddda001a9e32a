#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

/// Estimates how long bytes that the loop reads now may have waited in their
/// socket. Bytes that arrived before the previous poll for events would have
/// been read after it, so they have waited since then at most. They wait if the
/// loop is busy or the process does not run.
class ReadDelayEstimator
{
public:
  /// Reports that an iteration has ended and the loop polls for events next.
  void OnIterationEnd(Instant aNow);
  /// Reports that an iteration handles events. Only its first call counts.
  void OnActivity(Instant aNow);
  /// Upper bound of the time that bytes which are read now have waited.
  [[nodiscard]] Duration MaximumReadDelay(Instant aNow) const;

  /// The timers of a node wake its loop at least this often, so a longer poll
  /// means that the process did not run.
  static constexpr Duration kMaximumPollTime = milliseconds(600);

private:
  /// After a poll that is at most this long, the events are taken to have been
  /// pending when it began.
  static constexpr Duration kNegligiblePollTime = milliseconds(1);

  /// Time of the first activity in the current and the previous iteration.
  /// Empty if there was none.
  std::optional<Instant> mIterationStart;
  std::optional<Instant> mPreviousIterationStart;
  Instant mPreviousIterationEnd;
};

} // namespace verbenachute
