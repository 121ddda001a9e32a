#pragma once

#include <LibCore/Time.h>

#include <optional>

namespace verbenachute {

enum class Pace
{
  Normal,
  Slow,
};

/// The usual service time of the targets of one service. It follows faster
/// answers quickly and slower ones slowly, so that a spell of slow answers
/// does not pass for usual.
class LatencyBaseline
{
public:
  /// Judges an answer by the answers before it and then takes it in.
  Pace Judge(Duration aService);
  /// How a time compares to the usual; Normal while nothing is known.
  [[nodiscard]] Pace PaceOf(Duration aService) const;
  /// The usual service time, once an answer is known.
  [[nodiscard]] std::optional<Duration> Usual() const { return mUsual; }

private:
  [[nodiscard]] Duration SlowLimit() const;

  std::optional<Duration> mUsual;
};

} // namespace verbenachute
