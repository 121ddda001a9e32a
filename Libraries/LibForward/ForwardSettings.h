#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/AttemptBudget.h>

#include <cstdint>

namespace verbenachute {

/// Whether and when a second target is asked while the first attempt runs.
enum class ForwardHedging
{
  Never,
  /// After the observed time within which most attempts of the route end.
  Adaptive,
};

/// When a query is answered although shards are missing.
enum class PartialAnswers
{
  /// Only once no missing shard can answer any more.
  WhenMissingShardsFailed,
  /// At the latency objective, if the minimum coverage has been reached.
  AtObjective,
};

/// Which node asks the targets of a shard that no target in the failure domain
/// of this node holds.
enum class ShardGathering
{
  /// This node.
  Direct,
  /// A peer in a failure domain that holds the shard, if there is one.
  ViaPeer,
};

/// Whether queries are refused because the targets queue too much work.
enum class LoadAdmissionMode
{
  /// Only once targets report how long work currently takes.
  Automatic,
  Off,
  On,
};

/// Settings of the forward engine.
struct ForwardSettings
{
  /// Failure domain of this node.
  FailureDomain mDomain;
  AttemptBudgetLimits mBudgetLimits;
  ForwardHedging mHedging = ForwardHedging::Adaptive;
  PartialAnswers mPartialAnswers = PartialAnswers::AtObjective;
  ShardGathering mGathering = ShardGathering::ViaPeer;
  LoadAdmissionMode mLoadAdmission = LoadAdmissionMode::Automatic;
  /// Maximum number of requests that run at the same time.
  std::size_t mMaximumRunning = 600;
  /// One-way network delay between a caller and this node.
  Duration mCallerOneWayDelay = milliseconds(3);
  /// Latency that is added to the expected latency of a target in another
  /// failure domain: the round trip, and a price for the bytes between domains,
  /// which the users pay for. A queue of about two requests in this node's
  /// domain outweighs it (docs/MEASUREMENTS.md).
  Duration mCrossDomainCost = milliseconds(20);
  /// Share of the latency objective before which no second target in another
  /// failure domain is asked: bytes between domains are paid for, and most late
  /// answers arrive by then (docs/MEASUREMENTS.md).
  double mCrossDomainHedgeShare = 0.3;
  /// Share of the latency objective that a request waits for a free connection
  /// before it is refused. A longer wait would only delay the caller's retry.
  double mConnectionWaitShare = 0.2;
  /// Number of the first attempt. It must exceed the numbers of earlier runs of
  /// the process, so that late replies to them match no attempt.
  AttemptId mFirstAttempt{ 1 };
  std::uint64_t mSeed = 1;
};

} // namespace verbenachute
