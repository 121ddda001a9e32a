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

/// Number of a delegation within the node that asks; never used twice.
using DelegationNumber = Strong<struct DelegationNumberTag, std::uint64_t>;

/// Some shards of a query, which a node asks a peer near their targets to
/// gather. The peer asks one target of each shard, once; further attempts are
/// up to the node that asks, so that the attempts over both are counted in one
/// place.
struct DelegatedOrder
{
  CallerRequestPointer mRequest;
  /// The version of the plan that the whole answer is gathered by.
  PlanVersion mPlan;
  /// Places of the shards in the list of the route; rising, none twice.
  std::vector<std::size_t> mPlaces;
  /// What is left of the caller's time.
  Duration mTimeLeft{ 0 };
};

/// A shard whose target has answered.
struct AnsweredPlace
{
  std::size_t mPlace = 0;
  /// Proof of the target; never empty.
  std::string mSignature;

  friend bool operator==(const AnsweredPlace&, const AnsweredPlace&) = default;
};

/// How far the attempt at a shard without an answer is.
enum class AttemptState
{
  Running,
  /// It ended without an answer and may have run.
  Failed,
  /// It has not run and will not.
  NotRun,
};

/// A shard without an answer.
struct UnansweredPlace
{
  std::size_t mPlace = 0;
  AttemptState mState = AttemptState::Running;
  /// The target that was asked; empty if none was.
  TargetName mTarget;

  friend bool operator==(const UnansweredPlace&,
                         const UnansweredPlace&) = default;
};

/// What a peer tells of a delegation. The first report names all shards; each
/// later one those whose attempt has ended since.
struct DelegationReport
{
  std::vector<AnsweredPlace> mAnswered;
  /// The greatest records of all answers in this report, falling.
  std::string mRecords;
  std::vector<UnansweredPlace> mUnanswered;

  friend bool operator==(const DelegationReport&,
                         const DelegationReport&) = default;
};

/// The peer has asked no target and will not.
struct DelegationRefusal
{
  RefusalReason mReason = RefusalReason::Overloaded;

  friend bool operator==(const DelegationRefusal&,
                         const DelegationRefusal&) = default;
};

using DelegationAnswer = std::variant<DelegationReport, DelegationRefusal>;

/// Why a peer is to stop.
enum class RecallReason
{
  /// The query has its answer. Attempts may end by themselves for a moment.
  Settled,
  /// Nobody waits any more.
  CallerGone,
};

} // namespace verbenachute
