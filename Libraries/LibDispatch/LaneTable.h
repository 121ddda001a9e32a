#pragma once

#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/DispatchCheck.h>
#include <LibDispatch/LatencyBaseline.h>
#include <LibDispatch/TargetLane.h>
#include <LibDispatch/TargetReply.h>

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// The targets of the buckets that this node holds, and what their answers
/// and probes tell about them. A target outlives its lease here while work may
/// still run at it, so that its slots are never counted twice.
class LaneTable
{
public:
  /// aCheck outlives the table.
  LaneTable(const DispatchSettings& aSettings, const DispatchCheck& aCheck);

  [[nodiscard]] TargetLane* Find(const TargetName& aTarget);
  [[nodiscard]] std::vector<TargetLane*> InBucket(const Bucket& aBucket);
  [[nodiscard]] std::vector<TargetLane*> All();
  /// Sub-queries that wait or may still run at a target of the bucket.
  [[nodiscard]] std::size_t InHand(const Bucket& aBucket) const;

  void OnBucketGained(const Bucket& aBucket, Instant aNow);
  void OnBucketLost(const Bucket& aBucket);
  [[nodiscard]] bool Holds(const Bucket& aBucket) const;
  /// Follows the configuration.
  void Refresh(Instant aNow);
  /// Drops the targets that are neither held nor in use.
  void DropUnused();

  /// Any target may have been restarted: all of them start from cold.
  void ForgetWarmth(Instant aNow);
  [[nodiscard]] bool IsEmpty() const { return mLanes.empty(); }
  void JudgeReply(TargetLane& aLane,
                  const Work& aWork,
                  const TargetReply& aReply,
                  Instant aNow);
  void JudgeTimeout(TargetLane& aLane, const Work& aWork, Instant aNow);
  void JudgeBrokenConnection(TargetLane& aLane, Instant aNow);
  void JudgeProbeReply(TargetLane& aLane,
                       const std::vector<HeldVersion>& aVersions,
                       Instant aNow);
  void JudgeProbeFailure(TargetLane& aLane, Instant aNow);
  [[nodiscard]] std::optional<Duration> UsualService(
    const ServiceName& aService) const;

  /// Sends the probes that are due.
  void Probe(Instant aNow, DispatchActions* aActions);
  [[nodiscard]] std::optional<Instant> NextProbe() const;
  /// Publishes the states that have changed.
  void Publish(DispatchActions* aActions);
  void CloseIdle(const Bucket& aBucket, DispatchActions* aActions) const;

private:
  void Apply(TargetLane& aLane, JudgeChange aChange, Instant aNow);

  DispatchSettings mSettings;
  const DispatchCheck& mCheck;
  std::map<TargetName, TargetLane> mLanes;
  std::map<ServiceName, LatencyBaseline> mBaselines;
  std::set<Bucket> mHeld;
  /// Targets whose state may have changed since it was published.
  std::set<TargetName> mTouched;
  /// No probe is due before this.
  std::optional<Instant> mNextProbe;
};

} // namespace verbenachute
