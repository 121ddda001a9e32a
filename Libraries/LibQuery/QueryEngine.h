#pragma once

#include <LibConfiguration/ConfigurationView.h>
#include <LibCore/Identifiers.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/Time.h>
#include <LibQuery/AdmissionControl.h>
#include <LibQuery/AttemptIdSource.h>
#include <LibQuery/HedgePolicy.h>
#include <LibQuery/LatencyEstimator.h>
#include <LibQuery/QueryAction.h>
#include <LibQuery/QueryCoordinator.h>
#include <LibQuery/QueryCounters.h>
#include <LibQuery/QueryEngineSettings.h>
#include <LibQuery/QueryPlanner.h>
#include <LibQuery/ReplicaSelector.h>
#include <LibQuery/RetryBudget.h>
#include <LibQuery/SuspectTable.h>
#include <LibQuery/TargetCatalogue.h>

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace verbenachute {

/// A query that was taken, and what is to be done first.
struct Submission
{
  QueryId mQuery;
  QueryActions mActions;
};

/// All queries that one node runs, and what they share. Each event gives the
/// actions to carry out; they never contain WakeAt: after each call the owner
/// arms one timer for NextWake and calls OnTimer when it is due.
class QueryEngine
{
public:
  explicit QueryEngine(QueryEngineSettings aSettings);
  QueryEngine(const QueryEngine&) = delete;
  QueryEngine& operator=(const QueryEngine&) = delete;

  /// Plans with this configuration from now on. Running queries keep their
  /// plan; the gate of the holder has the last word on each sub-query.
  void SetConfiguration(std::shared_ptr<const ConfigurationView> aView);

  /// What is known of the targets; fed by the owner.
  [[nodiscard]] TargetCatalogue& Catalogue() { return mCatalogue; }

  /// Takes a query. Exactly one CompleteQuery follows for it, now or later.
  [[nodiscard]] Submission Submit(QueryRequest aRequest, Instant aNow);

  /// Takes an answer that came back from a holder or that the owner made up
  /// for a sub-query it could not send.
  [[nodiscard]] QueryActions OnSubAnswer(const SubAnswer& aAnswer,
                                         Instant aNow);

  [[nodiscard]] QueryActions OnTimer(Instant aNow);

  /// The caller of a query hung up. Unknown queries are passed over.
  [[nodiscard]] QueryActions OnCallerDisconnected(QueryId aQuery, Instant aNow);

  /// A target was lost with whatever it ran.
  [[nodiscard]] QueryActions OnTargetLost(const TargetName& aTarget,
                                          Instant aNow);

  /// When OnTimer has something to do, if ever.
  [[nodiscard]] std::optional<Instant> NextWake() const;

  [[nodiscard]] const QueryCounters& Counters() const { return mCounters; }
  /// Queries that run or wait at this node.
  [[nodiscard]] std::size_t QueryCount() const
  {
    return mRunning.size() + mQueued.size();
  }

private:
  struct Running
  {
    std::unique_ptr<QueryCoordinator> mCoordinator;
    Fingerprint mFingerprint;
    std::optional<Instant> mWakeAt;
  };

  struct Queued
  {
    QueryRequest mRequest;
    Instant mDeadline;
  };

  void Await(AdmissionActions aActions);
  [[nodiscard]] QueryActions Drain(Instant aNow);
  void StartQueued(QueryId aQuery, Instant aNow);
  void Refuse(QueryId aQuery, Error aError);
  void Absorb(QueryId aQuery, QueryActions aActions, Instant aNow);
  void Judge(const Running& aRunning, Instant aNow);
  void Retire(QueryId aQuery, Instant aNow);
  void ArmQuery(QueryId aQuery, std::optional<Instant> aAt);
  [[nodiscard]] LatencyEstimator& LatencyOf(const ServiceName& aService);

  QueryEngineSettings mSettings;
  TargetCatalogue mCatalogue;
  ReplicaSelector mSelector;
  QueryPlanner mPlanner;
  RetryBudget mBudget;
  HedgePolicy mHedgePolicy;
  AdmissionControl mAdmission;
  SuspectTable mSuspects;
  AttemptIdSource mAttemptIds;
  QueryCounters mCounters;
  std::map<ServiceName, LatencyEstimator> mLatencies;
  std::uint64_t mNextQuery;
  Instant mTidiedAt;

  std::unordered_map<QueryId, Running> mRunning;
  std::unordered_map<QueryId, Queued> mQueued;
  std::set<std::pair<Instant, QueryId>> mWakes;
  /// Decisions of the admission control that are not carried out yet. Queries
  /// that end as soon as they start would nest without this queue.
  std::deque<AdmissionAction> mPending;
  QueryActions mActions;
};

} // namespace verbenachute
