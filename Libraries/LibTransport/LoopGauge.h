#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

/// Tells how long bytes that the loop reads now may have lain in their socket.
/// Bytes that had come before the loop looked for events the last time would
/// have been read then, so they are at most as old as that look. A loop that
/// was busy, or a process that did not run, makes them old.
class LoopGauge
{
public:
  /// A turn is over, and the loop looks for events next.
  void OnTurnEnd(Instant aNow);
  /// Work of a turn begins or goes on.
  void OnWork(Instant aNow);
  /// Longest time that bytes read now may have waited.
  [[nodiscard]] Duration MaximumReadDelay(Instant aNow) const;

  /// The timers of a node wake its loop at least this often; a longer pause
  /// means that the process did not run.
  static constexpr Duration kLongestRest = milliseconds(600);

private:
  /// A pause this short is none: the events were there when the loop looked.
  static constexpr Duration kNoRest = milliseconds(1);

  /// When the work of the present turn and of the one before began.
  std::optional<Instant> mBegan;
  std::optional<Instant> mBeganBefore;
  Instant mEndedBefore;
};

} // namespace verbenachute
