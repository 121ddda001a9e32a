#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <string>
#include <vector>

namespace verbenachute {

/// One result of a search. Hits are ordered by score, then by identifier.
struct Hit
{
  std::string mIdentifier;
  double mScore = 0;
  std::string mText;

  friend bool operator==(const Hit&, const Hit&) = default;
};

/// What a shard gave for a sub-query: the hits and where they are from.
struct ShardResult
{
  IndexVersion mVersion;
  ShardId mShard;
  std::vector<Hit> mHits;
};

/// A sub-query that gave no result, and whether a target may have run it.
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
  /// Time that the attempt waited at the holder for a slot.
  Duration mQueued{ 0 };
  /// Time from the first byte sent to the target to its whole reply.
  Duration mService{ 0 };
};

} // namespace verbenachute
