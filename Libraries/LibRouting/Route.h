#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace verbenachute {

/// Whether a request may be sent to a second target after a first may have run
/// it.
enum class RepeatPolicy
{
  /// Idempotent: it may run more than once.
  Idempotent,
  /// It runs at most once per attempt of its caller.
  AtMostOnce,
};

/// One of the services between which a route splits its requests.
struct WeightedService
{
  ServiceName mService;
  /// Share of the requests, relative to the other services; not negative.
  double mWeight = 1;

  friend bool operator==(const WeightedService&,
                         const WeightedService&) = default;
};

/// Sends each request to one service, chosen by weight.
struct SingleDestination
{
  std::vector<WeightedService> mServices;

  friend bool operator==(const SingleDestination&,
                         const SingleDestination&) = default;
};

/// Sends each query to one target of each shard and merges the answers.
struct ShardSet
{
  /// Shards of the query, each a service of its own.
  std::vector<ServiceName> mShards;
  /// Number of the greatest records that the answer holds.
  std::size_t mMaximumRecords = 0;
  /// Smallest share of the shards that is enough for an answer, from 0 to 1.
  double mMinimumCoverage = 1;

  /// Smallest number of shards that is enough for an answer; at least 1.
  [[nodiscard]] std::size_t MinimumShards() const;

  friend bool operator==(const ShardSet&, const ShardSet&) = default;
};

/// Whether callers have to authenticate; applies only if the plan has tenants.
enum class RouteAccess
{
  KeyRequired,
  Public,
};

/// How the requests of one host and path prefix are handled.
struct Route
{
  std::string mName;
  std::string mHost;
  /// Begins and ends with a slash.
  std::string mPathPrefix;
  RepeatPolicy mRepeatPolicy = RepeatPolicy::AtMostOnce;
  /// Longest time that a caller is kept waiting.
  Duration mDeadline = seconds(5);
  /// Latency that an answer should stay within, counted from the caller's first
  /// attempt.
  Duration mLatencyObjective = seconds(1);
  /// Rank of the route; 0 is served before all others.
  std::uint32_t mPriority = 0;
  /// Number of targets of each shard that one request may be sent to.
  std::uint32_t mMaximumAttempts = 1;
  RouteAccess mAccess = RouteAccess::KeyRequired;
  std::variant<SingleDestination, ShardSet> mDestination;

  friend bool operator==(const Route&, const Route&) = default;
};

} // namespace verbenachute
