#pragma once

#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Times of the leases; all nodes of a region run with the same ones.
struct LeaseSettings
{
  /// How long a holder counts a lease from the moment of its request.
  Duration mDuration = seconds(2);
  /// Time between two rounds of requests of a holder.
  Duration mRenewal = milliseconds(500);
  /// Difference in speed that two clocks may have, in hundredths.
  std::uint32_t mDriftPercent = 5;
  /// Longest time that a target works on one sub-query.
  Duration mLongestRun = seconds(1);
  /// A voter without an event for this long has been paused.
  Duration mPause = milliseconds(500);
  /// How long a voter that was paused grants nothing, so that it learns of
  /// configurations that were accepted meanwhile.
  Duration mSettling = milliseconds(1500);

  /// How long a voter keeps a grant for a lease of the usual duration.
  [[nodiscard]] Duration VoterDuration() const;
  /// The longest run, as the fastest of the clocks counts it.
  [[nodiscard]] Duration RunWithDrift() const;
};

} // namespace verbenachute
