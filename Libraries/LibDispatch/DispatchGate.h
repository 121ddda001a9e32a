#pragma once

#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/DispatchCheck.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/LaneTable.h>
#include <LibDispatch/PoisonList.h>
#include <LibDispatch/TargetReply.h>
#include <LibDispatch/WorkTable.h>
#include <LibLease/LeaseAuthority.h>

#include <map>
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
  // Ways into a lane and out of it.
  void AnswerAtOnce(const SubQuery& aSubQuery,
                    const NodeIdentity& aOrigin,
                    const SubFailure& aFailure,
                    Instant aNow,
                    DispatchActions* aActions);
  void Enqueue(TargetLane& aLane,
               Work& aWork,
               Instant aNow,
               DispatchActions* aActions);
  void Pump(TargetLane& aLane, Instant aNow, DispatchActions* aActions);
  void RefuseWhatMayNotRun(TargetLane& aLane,
                           Instant aNow,
                           DispatchActions* aActions);
  void Recheck(const std::vector<TargetLane*>& aLanes,
               Instant aNow,
               DispatchActions* aActions);
  [[nodiscard]] std::optional<SubFailure> Refusal(const Work& aWork,
                                                  const TargetLane& aLane,
                                                  Instant aNow);
  [[nodiscard]] std::optional<SubFailure> WaitRefusal(
    const Work& aWork,
    const TargetLane& aLane) const;
  void Send(TargetLane& aLane,
            Work& aWork,
            Instant aNow,
            DispatchActions* aActions);

  // Ends of work.
  void RefuseQueued(TargetLane& aLane,
                    const Work& aWork,
                    const SubFailure& aFailure,
                    Instant aNow,
                    DispatchActions* aActions);
  void Answer(Work& aWork,
              std::variant<ShardResult, SubFailure> aOutcome,
              Instant aNow,
              DispatchActions* aActions) const;
  void EndExchange(TargetLane& aLane, Work& aWork, Instant aNow);
  void Cancel(DispatchId aId, Instant aNow, DispatchActions* aActions);
  void CancelSent(TargetLane& aLane, Work& aWork, DispatchActions* aActions);
  void OnWorkTimer(DispatchId aId, Instant aNow, DispatchActions* aActions);
  void NoteTrial(Work& aWork,
                 const TargetReply& aReply,
                 Instant aNow,
                 DispatchActions* aActions);
  void NoteCrash(const TargetLane& aLane,
                 Work& aWork,
                 Instant aNow,
                 DispatchActions* aActions);

  // After each event.
  void ReportDrained(DispatchActions* aActions);
  DispatchActions Finish(Instant aNow, DispatchActions aActions);

  DispatchSettings mSettings;
  DispatchCheck mCheck;
  PoisonList mPoison;
  WorkTable mWork;
  LaneTable mLanes;
  /// Cancellations under way, by the work that they are to stop.
  std::map<DispatchId, TargetName> mCancellations;
  std::set<Bucket> mStopping;
  std::optional<Instant> mWakeAt;
};

} // namespace verbenachute
