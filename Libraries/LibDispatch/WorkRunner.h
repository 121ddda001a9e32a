#pragma once

#include <LibDispatch/Cancellations.h>
#include <LibDispatch/DispatchAction.h>
#include <LibDispatch/DispatchCheck.h>
#include <LibDispatch/DispatchSettings.h>
#include <LibDispatch/LaneTable.h>
#include <LibDispatch/PoisonWatch.h>
#include <LibDispatch/TargetReply.h>
#include <LibDispatch/WorkTable.h>

#include <optional>
#include <set>
#include <variant>
#include <vector>

namespace verbenachute {

/// Carries each sub-query of a gate from its arrival over the queue and the
/// run at the target to its one answer and the end of its work.
class WorkRunner
{
public:
  /// The other parts of the gate outlive the runner.
  WorkRunner(const DispatchSettings& aSettings,
             const DispatchCheck& aCheck,
             PoisonWatch& aPoison,
             LaneTable& aLanes);

  /// A sub-query has come. One that is known is dropped.
  void Take(const SubQuery& aSubQuery,
            const NodeIdentity& aOrigin,
            Instant aNow,
            DispatchActions* aActions);
  void OnTargetReply(DispatchId aId,
                     const TargetReply& aReply,
                     Instant aNow,
                     DispatchActions* aActions);
  void OnConnectionFailed(DispatchId aId,
                          Instant aNow,
                          DispatchActions* aActions);
  void OnConnectionLost(DispatchId aId,
                        Instant aNow,
                        DispatchActions* aActions);
  void OnCancel(const NodeIdentity& aOrigin,
                AttemptId aAttempt,
                Instant aNow,
                DispatchActions* aActions);
  void OnCancelQuery(const NodeIdentity& aOrigin,
                     QueryId aQuery,
                     Instant aNow,
                     DispatchActions* aActions);
  void OnCancelOutcome(DispatchId aId,
                       CancelOutcome aOutcome,
                       Instant aNow,
                       DispatchActions* aActions);
  void OnTimer(Instant aNow, DispatchActions* aActions);
  [[nodiscard]] std::optional<Instant> NextTimer() const;

  /// A condition may have changed: refuses what waits and may not run any
  /// more, and sends what may.
  void Recheck(const std::vector<TargetLane*>& aLanes,
               Instant aNow,
               DispatchActions* aActions);

private:
  // Ways into a lane and out of it.
  void RefuseAtOnce(const SubQuery& aSubQuery,
                    const NodeIdentity& aOrigin,
                    Instant aNow,
                    DispatchActions* aActions);
  void Enqueue(TargetLane& aLane,
               Work& aWork,
               Instant aNow,
               DispatchActions* aActions);
  void Pump(TargetLane& aLane, Instant aNow, DispatchActions* aActions);
  /// Goes on after an event at the target, which may have freed a slot.
  void Resume(TargetLane& aLane, Instant aNow, DispatchActions* aActions);
  void RefuseWhatMayNotRun(TargetLane& aLane,
                           Instant aNow,
                           DispatchActions* aActions);
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
  void OnWorkTimer(DispatchId aId, Instant aNow, DispatchActions* aActions);
  [[nodiscard]] std::set<Fingerprint> FingerprintsAt(
    const TargetLane& aLane) const;

  DispatchSettings mSettings;
  const DispatchCheck& mCheck;
  PoisonWatch& mPoison;
  LaneTable& mLanes;
  WorkTable mWork;
  Cancellations mCancellations;
};

} // namespace verbenachute
