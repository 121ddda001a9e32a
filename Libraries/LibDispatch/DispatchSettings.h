#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <map>

namespace verbenachute {

/// Limits and times of the dispatch gate.
struct DispatchSettings
{
  /// Longest time that a target works on one sub-query; equals the one of the
  /// leases, which wait for it at a change of holder.
  Duration mLongestRun = seconds(1);
  /// Difference in speed that two clocks may have, in hundredths.
  std::uint32_t mDriftPercent = 5;
  /// Successive holders of a target whose connections may be open together.
  std::uint32_t mHoldersPerTarget = 4;
  /// Sub-queries that wait for one target.
  std::size_t mQueueLimit = 64;
  Duration mProbeInterval = seconds(1);
  Duration mProbeTimeout = milliseconds(500);
  /// A gate that holds targets and has no event for this long was paused.
  Duration mPause = milliseconds(200);
  /// Weight of a class; a class that is not named has weight 1. Higher weights
  /// go first, lower ones are shed first.
  std::map<CallerClass, std::uint32_t> mClassWeights;
  /// How long a convicted fingerprint is refused.
  Duration mConviction = seconds(600);
  /// How long a suspicion or an acquittal is remembered.
  Duration mSuspicion = seconds(600);
  /// Time for a suspicion to reach all nodes before it is tried.
  Duration mTrialDelay = seconds(1);
  /// Time after the delay in which the trier of a suspicion has to try it;
  /// after that another node that gets the query takes over.
  Duration mTrialPatience = seconds(2);
  /// Fingerprints that are remembered.
  std::size_t mPoisonLimit = 1024;

  /// How long after its sending work may hold a slot at the target.
  [[nodiscard]] Duration RunWithDrift() const;
  [[nodiscard]] std::uint32_t WeightOf(const CallerClass& aClass) const;
};

} // namespace verbenachute
