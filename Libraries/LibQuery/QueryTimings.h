#pragma once

#include <LibCore/Time.h>

namespace verbenachute {

/// Spans of time that a query keeps to.
struct QueryTimings
{
  /// How long before the caller's deadline the answer is given, so that it
  /// reaches the caller in time.
  Duration mCompletionMargin = milliseconds(5);
  /// How long before the answer is given the time of sub-queries ends, so
  /// that a holder's "not run" still reaches this node.
  Duration mAnswerMargin = milliseconds(3);
  /// Wait before the first repeat at a target whose holder was not reached;
  /// doubles with each further repeat.
  Duration mRetryBackoff = milliseconds(5);
};

} // namespace verbenachute
