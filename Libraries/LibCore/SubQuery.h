#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/Time.h>

#include <string>

namespace verbenachute {

/// Why an attempt is sent. Hedges and retries are charged to a budget.
enum class AttemptKind
{
  First,
  Hedge,
  Retry,
};

/// One attempt to search one shard of one index version at one target. Sent
/// from the node that runs the query to the node that holds the target.
struct SubQuery
{
  QueryId mQuery;
  AttemptId mAttempt;
  AttemptKind mKind = AttemptKind::First;
  TargetName mTarget;
  ServiceName mService;
  CallerId mCaller;
  CallerClass mClass;
  RequestId mRequest;
  Fingerprint mFingerprint;
  Idempotency mIdempotency = Idempotency::Idempotent;
  ShardId mShard;
  IndexVersion mVersion;
  /// Time until the deadline, at the moment of sending.
  Duration mTimeLeft{ 0 };
  /// The query.
  std::string mText;
  /// Largest number of hits in the result.
  std::uint32_t mLimit = 0;
};

} // namespace verbenachute
