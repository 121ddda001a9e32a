#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// The phases of a graceful shutdown, in their order.
enum class LeavingPhase
{
  Serving,
  /// Tells all peers that it leaves; they stop naming it to callers.
  Announcing,
  /// Serves until every address answer that names it has run out.
  RunningOut,
  /// Takes no new work and hands its buckets to other holders.
  HandingOver,
  /// Finishes the work in hand.
  Draining,
  Finished,
};

/// "serving", "announcing", "running_out", "handing_over", "draining" or
/// "finished".
[[nodiscard]] const char*
LeavingPhaseName(LeavingPhase aPhase);

/// What a node that leaves still has, as the daemon counts it.
struct LeavingFacts
{
  /// Peers that may still name this node; see MemberTable::Unconfirmed.
  std::vector<NodeIdentity> mUnconfirmed;
  std::size_t mBucketsHeld = 0;
  /// Queries of callers that run.
  std::vector<RequestId> mQueries;
  /// Sub-queries of peers that run at targets held by this node.
  std::size_t mSubQueries = 0;
};

enum class LeavingEnding
{
  /// Nothing was given up.
  Graceful,
  /// A limit passed with work or buckets left.
  LimitPassed,
  SecondSignal,
};

/// How a shutdown ended and what it gave up.
struct LeavingReport
{
  LeavingEnding mEnding = LeavingEnding::Graceful;
  /// The phase in which something was given up first.
  LeavingPhase mPhase = LeavingPhase::Finished;
  /// What was given up; empty for a graceful end.
  LeavingFacts mGivenUp;
};

/// The status with which the process ends: 0 for a graceful end, else 1.
[[nodiscard]] int
ExitStatusOf(const LeavingReport& aReport);

} // namespace verbenachute
