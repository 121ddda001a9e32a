#pragma once

#include <LibCore/Identifiers.h>
#include <LibForward/CallerRequest.h>
#include <LibForward/Refusal.h>
#include <LibRouting/ServingPlan.h>

#include <cstddef>
#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// Number of a delegation, unique within the delegating node and never reused.
using DelegationNumber = Strong<struct DelegationNumberTag, std::uint64_t>;

/// Whether a peer may leave a shard to others.
enum class DelegationUrgency
{
  /// The peer asks no target of a shard if targets elsewhere would answer
  /// sooner.
  IfPreferred,
  /// The peer asks a target in any case: there is no better one.
  Always,
};

/// Shards of a query that a node delegates to a peer in the failure domain of
/// their targets. The peer makes one attempt for each shard. Hedges and retries
/// are left to the delegating node, so that the attempts of both nodes are
/// counted by one of them.
struct DelegationRequest
{
  CallerRequestPointer mRequest;
  /// Plan version that applies to all shards of the query.
  PlanVersion mPlan;
  /// Indices of the shards in the list of the route, strictly ascending.
  std::vector<std::size_t> mShardIndexes;
  /// Time until the deadline of the request.
  Duration mTimeLeft{ 0 };
  DelegationUrgency mUrgency = DelegationUrgency::IfPreferred;
  /// Records below this one are not needed; empty if all are.
  std::string mFloor;
};

/// A shard whose target has answered.
struct AnsweredShard
{
  std::size_t mShardIndex = 0;
  /// Proof that the target answered this request; never empty.
  std::string mSignature;
  /// Its records among the greatest of the report, in descending order.
  std::string mRecords;

  friend bool operator==(const AnsweredShard&, const AnsweredShard&) = default;
};

/// State of the attempt for a shard without an answer.
enum class AttemptState
{
  Running,
  /// It ended without an answer; the target may have run the request.
  Failed,
  /// The target has not run the request and will not.
  NotRun,
};

/// A shard without an answer.
struct UnansweredShard
{
  std::size_t mShardIndex = 0;
  AttemptState mState = AttemptState::Running;
  /// Target of the attempt; empty if no attempt was made.
  TargetName mTarget;

  friend bool operator==(const UnansweredShard&,
                         const UnansweredShard&) = default;
};

/// Progress of a delegation as the peer reports it. The first report names all
/// shards, each later one the shards whose attempt has ended since.
struct DelegationReport
{
  std::vector<AnsweredShard> mAnswered;
  /// Answers may lack records below this one; empty if none is missing.
  std::string mFloor;
  std::vector<UnansweredShard> mUnanswered;

  friend bool operator==(const DelegationReport&,
                         const DelegationReport&) = default;
};

/// The peer has sent nothing to any target and will not.
struct DelegationRefusal
{
  RefusalReason mReason = RefusalReason::Overloaded;

  friend bool operator==(const DelegationRefusal&,
                         const DelegationRefusal&) = default;
};

using DelegationResponse = std::variant<DelegationReport, DelegationRefusal>;

/// Why the delegating node ends a delegation.
enum class CancelReason
{
  /// The query has been answered. Running attempts may complete within a grace
  /// period.
  Completed,
  /// The caller has disconnected; running attempts are cancelled at once.
  CallerDisconnected,
};

} // namespace verbenachute
