#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// Limits on what a bad version may get, over all nodes together.
struct RolloutRule
{
  /// Share of the requests between the order and its deadline.
  double mShare = 0.1;
  /// Requests beyond the share.
  double mSlack = 50;
  /// Time after the 50th bad response from which no request may be sent.
  Duration mRollbackTime = seconds(5);
};

} // namespace verbenachute
