#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/Time.h>

#include <string>

namespace verbenachute::standins {

/// How an execution ended.
enum class Ending
{
  Running,
  Answered,
  DeadlinePassed,
  Cancelled,
  /// The searcher crashed or fell over under it.
  Crashed,
};

/// One execution of a sub-query, from the moment at which it took a slot.
struct ExecutionRecord
{
  RequestId mRequest;
  std::string mAttempt;
  ShardId mShard;
  IndexVersion mVersion;
  Idempotency mIdempotency = Idempotency::Idempotent;
  UnixMilliseconds mStart{ 0 };
  UnixMilliseconds mEnd{ 0 };
  Ending mEnding = Ending::Running;
};

/// Name of an ending as it stands in the record, such as "answered".
[[nodiscard]] const char*
EndingName(Ending aEnding);

} // namespace verbenachute::standins
