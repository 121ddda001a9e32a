#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Whether a target has been through its cold start.
enum class Warmth
{
  Cold,
  Warm,
};

/// Limit on the work that a target gets at one time. It starts at 1, doubles
/// after enough answers at the usual pace and halves when the target sheds,
/// fails or slows down.
class ColdStartRamp
{
public:
  /// The target may be cold: starts again from 1.
  void Reset(Instant aNow);
  /// An answer at the usual pace to work sent at aSent.
  void OnSuccess(Instant aSent, Instant aNow, std::uint32_t aFull);
  /// Shed, failed, slow or without an answer in time.
  void OnStrain(Instant aSent, Instant aNow);
  /// Resets the ramp of a target that has not answered for long, since it may
  /// have turned cold meanwhile.
  void OnDispatch(Instant aNow);

  /// From 1 up to aFull.
  [[nodiscard]] std::uint32_t Limit(std::uint32_t aFull) const;
  [[nodiscard]] bool IsFull(std::uint32_t aFull) const;
  /// Warm once the limit was full, until a reset or until the target shows
  /// strain at the lowest limit. One slow answer makes no target cold.
  [[nodiscard]] Warmth WarmthAt(std::uint32_t aFull) const;

private:
  Warmth mWarmth = Warmth::Cold;
  std::uint32_t mLimit = 1;
  std::uint32_t mSuccesses = 0;
  /// Answers to work sent before this tell about an earlier limit.
  Instant mChanged;
  Instant mLastAnswer;
};

} // namespace verbenachute
