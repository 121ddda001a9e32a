#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>
#include <LibForward/ExtraBudget.h>

#include <cstdint>

namespace verbenachute {

/// When a second target of a shard is asked while the first still works.
enum class ForwardHedging
{
  Never,
  /// After the usual time of such attempts, as observed.
  Adaptive,
};

/// When a query answers although shards are missing.
enum class PartialAnswers
{
  /// Only when the missing shards can not answer any more.
  WhenNothingIsLeft,
  /// At the latency objective, if the least coverage is in.
  AtObjective,
};

/// Who asks the targets of a shard that no target of the own domain holds.
enum class ShardGathering
{
  /// This node.
  Direct,
  /// A peer in a domain that holds it, if there is one.
  NearTargets,
};

/// How requests are forwarded.
struct ForwardSettings
{
  FailureDomain mDomain;
  ExtraLimits mExtra;
  ForwardHedging mHedging = ForwardHedging::Adaptive;
  PartialAnswers mPartial = PartialAnswers::AtObjective;
  ShardGathering mGathering = ShardGathering::NearTargets;
  /// Requests that may run at one time.
  std::size_t mMaximumRunning = 600;
  /// One way between a caller and this node.
  Duration mCallerDelay = milliseconds(3);
  /// What a target of another failure domain costs, as time: the round trip,
  /// and the bytes between domains, which the users pay for. A queue in the own
  /// domain of about two requests outweighs it (docs/MEASUREMENTS.md).
  Duration mDomainCost = milliseconds(20);
  /// A second target in another domain is asked after this share of the
  /// objective at the earliest: the bytes cost there, and most late answers
  /// come by then (docs/MEASUREMENTS.md).
  double mAcrossHedgeShare = 0.3;
  /// Share of its objective that a request may wait for a free connection
  /// before it is refused; waiting longer would only delay the retry.
  double mWaitShare = 0.2;
  /// First number of attempts, so that those of an earlier life match none.
  AttemptId mFirstAttempt{ 1 };
  std::uint64_t mSeed = 1;
};

} // namespace verbenachute
