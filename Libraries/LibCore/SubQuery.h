#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/Time.h>

#include <string>

namespace verbenachute {

/// Why a sub-query is sent; hedges and retries are paid from a budget.
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
  /// Time that is left at the moment of sending.
  Duration mTimeLeft{ 0 };
  std::string mText;
  std::uint32_t mLimit = 0;
};

} // namespace verbenachute
