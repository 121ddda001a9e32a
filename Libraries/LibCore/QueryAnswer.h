#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/SubAnswer.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace verbenachute {

/// How much of the index an answer covers.
struct Coverage
{
  /// Number of shards that were queried.
  std::uint32_t mShardsAsked = 0;
  /// Number of shards of the pinned version whose result is merged into the
  /// answer.
  std::uint32_t mShardsAnswered = 0;
  /// The shards that were queried but are not merged, in ascending order.
  std::vector<ShardId> mMissing;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

/// The merged answer of one query, from one index version.
struct QueryAnswer
{
  RequestId mRequest;
  ServiceName mService;
  /// The index version of all merged results.
  IndexVersion mSnapshot;
  Coverage mCoverage;
  std::vector<Hit> mHits;
  /// Number of attempts beyond the first one for each shard.
  std::uint32_t mExtraAttempts = 0;
};

/// A request that failed, and what is known about its execution.
struct QueryRefusal
{
  RequestId mRequest;
  Error mError;
  Execution mExecution = Execution::OutcomeUnknown;
};

using QueryOutcome = std::variant<QueryAnswer, QueryRefusal>;

} // namespace verbenachute
