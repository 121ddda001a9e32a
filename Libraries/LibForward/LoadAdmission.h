#pragma once

#include <LibCore/Time.h>
#include <LibForward/ForwardSettings.h>
#include <LibForward/PartReply.h>

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// What is known of the load of one target.
struct TargetBacklog
{
  ReportedLoad mLoad;
  /// Time since the report.
  Duration mAge{ 0 };
  /// Parts that this node has sent to the target since the report.
  std::size_t mSentSince = 0;
};

/// A route that may use the same shards as a query.
struct CompetingRoute
{
  std::string mName;
  std::uint32_t mPriority = 0;
  Duration mObjective{ 0 };
};

/// A query that asks to be admitted.
struct LoadQuery
{
  std::string mRoute;
  std::uint32_t mPriority = 0;
  /// Time until the latency objective; negative if it has passed.
  Duration mTimeLeft{ 0 };
  /// How long a new part would wait at each shard.
  std::vector<Duration> mWaits;
  /// Number of shards that are needed for an answer; at least 1.
  std::size_t mMinimumShards = 1;
  /// Routes that use one of the shards.
  std::vector<CompetingRoute> mCompeting;
};

/// Decides which queries are admitted while targets queue, from the load that
/// they report. A query whose needed shards have no queue is always admitted.
class LoadAdmission
{
public:
  explicit LoadAdmission(LoadAdmissionMode aMode);

  void SetMode(LoadAdmissionMode aMode) { mMode = aMode; }
  /// Whether the mode and the reports of the targets let this node refuse.
  [[nodiscard]] bool IsActive() const;

  /// aLatency is the time from sending the part to its answer.
  void OnAnswered(const std::string& aRoute,
                  const ReportedLoad& aLoad,
                  Duration aLatency);

  /// How long a new part would wait at the targets of a shard; 0 if they do not
  /// queue or nothing is known of them.
  [[nodiscard]] Duration Wait(const std::vector<TargetBacklog>& aTargets) const;

  /// The delay after which the query would be admitted; empty if it is admitted
  /// now. aRandom is from 0 to 1 and spreads the decisions of several nodes.
  [[nodiscard]] std::optional<Duration> Refusal(const LoadQuery& aQuery,
                                                double aRandom);

private:
  /// How long a part of the route takes at a target without a queue.
  [[nodiscard]] Duration WorkOf(const std::string& aRoute) const;
  /// The longest wait at the targets with which the query is still admitted.
  [[nodiscard]] Duration LongestWait(const LoadQuery& aQuery) const;
  [[nodiscard]] static bool IsCurrent(const TargetBacklog& aTarget);
  [[nodiscard]] Duration WaitAt(const TargetBacklog& aTarget) const;

  LoadAdmissionMode mMode;
  bool mHasSlowdownReports = false;
  /// Microseconds of work of one part, by route; bounded in number.
  std::map<std::string, double> mWork;
  /// The same over all routes; 0 before the first answer.
  double mMeanWork = 0;
  /// Priorities at or beyond this one were refused by the last decisions; empty
  /// if none was.
  std::optional<std::uint32_t> mRefusedFrom;
};

} // namespace verbenachute
