#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibCore/SubAnswer.h>

#include <cstdint>
#include <variant>
#include <vector>

namespace verbenachute {

/// How much of the index an answer stands for.
struct Coverage
{
  std::uint32_t mShardsAsked = 0;
  /// Shards of the pinned version whose result is merged into the answer.
  std::uint32_t mShardsAnswered = 0;
  /// Every shard that was asked and is not merged, in ascending order.
  std::vector<ShardId> mMissing;

  friend bool operator==(const Coverage&, const Coverage&) = default;
};

/// The merged answer of one query, from one index version.
struct QueryAnswer
{
  RequestId mRequest;
  ServiceName mService;
  IndexVersion mSnapshot;
  Coverage mCoverage;
  std::vector<Hit> mHits;
  /// Attempts beyond the first for each shard.
  std::uint32_t mExtraAttempts = 0;
};

/// A request that got no answer, and what is known of its execution.
struct QueryRefusal
{
  RequestId mRequest;
  Error mError;
  Execution mExecution = Execution::OutcomeUnknown;
};

using QueryOutcome = std::variant<QueryAnswer, QueryRefusal>;

} // namespace verbenachute
