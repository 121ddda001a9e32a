#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Exponential back-off with jitter: each failure doubles the delay up to a
/// limit. A hash of the node's name scales it by 0.5 to 1.5, so that the nodes
/// do not retry at the same time.
class BackoffSchedule
{
public:
  BackoffSchedule(NodeName aSelf, Duration aFirst, Duration aLongest);

  /// Returns the delay after one more failure.
  [[nodiscard]] Duration OnFailure();
  void OnSuccess() { mFailures = 0; }
  /// Returns the duration scaled by 0.5 to 1.5, differently at each call.
  [[nodiscard]] Duration Spread(Duration aDuration);

private:
  NodeName mSelf;
  Duration mFirst;
  Duration mLongest;
  std::uint32_t mFailures = 0;
  std::uint64_t mDraws = 0;
};

} // namespace verbenachute
