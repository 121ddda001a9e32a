#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// Whether a request may reach a second target after a first may have run it.
enum class Repeatability
{
  /// Idempotent: it may run more than once.
  Repeatable,
  /// It runs at most once for each attempt of its caller.
  AtMostOnce,
};

/// One part of a route whose requests are split between services.
struct WeightedService
{
  ServiceName mService;
  /// Share of the requests, relative to the other parts; not negative.
  double mWeight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// A request goes to one service, chosen by weight.
struct SingleDestination
{
  std::vector<WeightedService> mServices;

  friend bool operator==(const SingleDestination&,
                         const SingleDestination&) = default;
};

/// A query goes to one target of each shard, and the answers are merged.
struct ShardSet
{
  /// Each shard is a service of its own.
  std::vector<ServiceName> mShards;
  /// How many of the greatest records the answer holds.
  std::size_t mGreatest = 0;
  /// Smallest share of the shards that makes an answer, 0 to 1.
  double mLeastCoverage = 1;

  /// The number of shards that makes an answer; at least one.
  [[nodiscard]] std::size_t LeastParts() const;

  friend bool operator==(const ShardSet&, const ShardSet&) = default;
};

/// How the requests of one host and path prefix are handled.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  Repeatability mRepeatability = Repeatability::AtMostOnce;
  /// Longest time that a caller is kept waiting.
  Duration mDeadline = seconds(5);
  /// Time within which an answer is in time, from the caller's first attempt.
  Duration mLatencyObjective = seconds(1);
  /// Rank; 0 is served before all others.
  std::uint32_t mPriority = 0;
  /// Targets that one request may be sent to, in each shard.
  std::uint32_t mMaximumAttempts = 1;
  std::variant<SingleDestination, ShardSet> mDestination;

  friend bool operator==(const Route&, const Route&) = default;
};

} // namespace verbenachute
