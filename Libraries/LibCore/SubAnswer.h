#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace verbenachute {

/// One search hit. Hits are ordered by score, then by identifier.
struct Hit
{
  std::string mIdentifier;
  double mScore = 0;
  std::string mText;

  friend bool operator==(const Hit&, const Hit&) = default;
};

/// The result of a sub-query: the hits, and the shard and index version that
/// they come from.
struct ShardResult
{
  IndexVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
};

/// A failed sub-query, and whether a target may have executed it.
struct SubFailure
{
  Error mError;
  Execution mExecution = Execution::OutcomeUnknown;
};

/// The outcome of one attempt, sent back by the node that holds the target.
struct SubAnswer
{
  QueryId mQuery;
  AttemptId mAttempt;
  std::variant<ShardResult, SubFailure> mOutcome;
  /// Time that the attempt waited for a slot at the holder.
  Duration mQueued{ 0 };
  /// Time from the first byte sent to the target until its reply was complete.
  Duration mService{ 0 };
};

} // namespace verbenachute
