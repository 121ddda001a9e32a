#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstdint>

namespace verbenachute {

/// Spaces retries: each failure doubles the wait up to a limit, and a hash of
/// the node's name spreads the nodes over half to one and a half of it.
class BackoffSchedule
{
public:
  BackoffSchedule(NodeName aSelf, Duration aFirst, Duration aLongest);

  /// The wait after one more failure.
  [[nodiscard]] Duration OnFailure();
  void OnSuccess() { mFailures = 0; }
  /// Half to one and a half of a duration, other at each call.
  [[nodiscard]] Duration Spread(Duration aDuration);

private:
  NodeName mSelf;
  Duration mFirst;
  Duration mLongest;
  std::uint32_t mFailures = 0;
  std::uint64_t mDraws = 0;
};

} // namespace verbenachute
