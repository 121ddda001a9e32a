#pragma once

#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/DispatchCheck.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/LaneTable.h>
#include <LibDispatch/PoisonWatch.h>
#include <LibDispatch/TargetReply.h>
#include <LibDispatch/WorkRunner.h>
#include <LibLease/LeaseAuthority.h>

#include <memory>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute {

/// The one place that each sub-query passes on its way to a target. At the
/// moment of sending it checks lease, configuration, admittance, deadline,
/// condition of the target, poison, slots, ramp and connections.
///
/// Each sub-query gets one answer. It says "not run" only if nothing was sent
/// or the target said so.
class DispatchGate
{
public:
  /// aAuthority outlives the gate.
  DispatchGate(NodeIdentity aSelf,
               const DispatchSettings& aSettings,
               const LeaseAuthority& aAuthority);
  DispatchGate(const DispatchGate&) = delete;
  DispatchGate& operator=(const DispatchGate&) = delete;

  /// A sub-query of this node or of another one. A repeat of one that is in
  /// hand, or of a non-idempotent one that has ended, is dropped.
  DispatchActions OnSubQuery(const SubQuery& aSubQuery,
                             const NodeIdentity& aOrigin,
                             Instant aNow);
  DispatchActions OnTargetReply(DispatchId aId,
                                const TargetReply& aReply,
                                Instant aNow);
  /// No connection came about, and no byte of the sub-query was written.
  DispatchActions OnConnectionFailed(DispatchId aId, Instant aNow);
  /// The connection closed without a whole reply after a byte may have been
  /// written.
  DispatchActions OnConnectionLost(DispatchId aId, Instant aNow);
  /// The target closed a connection that carried no exchange: it may have
  /// been restarted.
  DispatchActions OnIdleConnectionLost(const TargetName& aTarget, Instant aNow);
  DispatchActions OnCancel(const NodeIdentity& aOrigin,
                           AttemptId aAttempt,
                           Instant aNow);
  DispatchActions OnCancelQuery(const NodeIdentity& aOrigin,
                                QueryId aQuery,
                                Instant aNow);
  /// Follows CancelAtTarget exactly once.
  DispatchActions OnCancelOutcome(DispatchId aId,
                                  CancelOutcome aOutcome,
                                  Instant aNow);
  DispatchActions OnProbeReply(const TargetName& aTarget,
                               const std::vector<HeldVersion>& aVersions,
                               Instant aNow);
  DispatchActions OnProbeFailed(const TargetName& aTarget, Instant aNow);

  /// A view with a revision that is not newer changes nothing.
  DispatchActions OnConfiguration(
    std::shared_ptr<const ConfigurationView> aView,
    Instant aNow);
  DispatchActions OnBucketGained(const Bucket& aBucket, Instant aNow);
  DispatchActions OnBucketStopping(const Bucket& aBucket, Instant aNow);
  DispatchActions OnBucketLost(const Bucket& aBucket, Instant aNow);
  /// Another node published this about a target.
  void OnTargetState(const TargetState& aState);
  DispatchActions OnPoisonReport(const PoisonReport& aReport, Instant aNow);
  DispatchActions OnTimer(Instant aNow);

  /// Everything known about poison, for a node that has just joined.
  [[nodiscard]] std::vector<PoisonReport> PoisonReports(Instant aNow);
  /// Sub-queries that wait or may still run at a target of the bucket.
  [[nodiscard]] std::size_t InHand(const Bucket& aBucket) const;

private:
  /// Before each event: notices that this node was paused.
  void Begin(Instant aNow);
  void ReportDrained(DispatchActions* aActions);
  DispatchActions Finish(Instant aNow, DispatchActions aActions);

  DispatchSettings mSettings;
  PoisonWatch mPoison;
  DispatchCheck mCheck;
  LaneTable mLanes;
  WorkRunner mRunner;
  /// Buckets that are being handed over and still have work.
  std::set<Bucket> mStopping;
  std::optional<Instant> mWakeAt;
  Instant mLastEvent;
  /// A wake-up that is due even if nothing else is, to notice pauses.
  Instant mPulse;
};

} // namespace verbenachute
