#include <LibQuery/QueryEngine.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenachute {

namespace {

/// What is known of a target that was not used for so long is forgotten.
constexpr Duration kObservationAge = seconds(600);
constexpr Duration kTidyInterval = seconds(60);
/// No query waits longer, whatever its caller says; keeps instants in range.
constexpr Duration kMaximumTimeLeft = seconds(3600);

} // namespace

QueryEngine::QueryEngine(QueryEngineSettings aSettings)
  : mSettings(std::move(aSettings))
  , mPlanner(mCatalogue, mSelector, pcg32(mSettings.mSeed))
  , mBudget(mSettings.mBudget)
  , mHedgePolicy(mSettings.mHedge)
  , mAdmission(mSettings.mAdmission)
  , mAttemptIds(mSettings.mFirstAttempt)
  , mNextQuery(mSettings.mFirstQuery.value())
{
}

void
QueryEngine::SetConfiguration(std::shared_ptr<const ConfigurationView> aView)
{
  mPlanner.SetConfiguration(std::move(aView));
}

Submission
QueryEngine::Submit(QueryRequest aRequest, Instant aNow)
{
  const QueryId query(mNextQuery);
  mNextQuery += 1;
  const Instant deadline =
    aNow + std::min(aRequest.mTimeLeft, kMaximumTimeLeft);
  const Instant startBy = deadline - mSettings.mTimings.mCompletionMargin -
                          mSettings.mTimings.mAnswerMargin;
  const CallerClass callerClass = aRequest.mClass;
  mQueued.emplace(query, Queued{ std::move(aRequest), deadline });
  Await(mAdmission.OnArrival(query, callerClass, startBy, aNow));
  return { query, Drain(aNow) };
}

QueryActions
QueryEngine::OnSubAnswer(const SubAnswer& aAnswer, Instant aNow)
{
  const auto running = mRunning.find(aAnswer.mQuery);
  if (running == mRunning.end()) {
    mCounters.mDroppedUnknownQuery += 1;
    return {};
  }
  Absorb(aAnswer.mQuery,
         running->second.mCoordinator->OnSubAnswer(aAnswer, aNow),
         aNow);
  return Drain(aNow);
}

QueryActions
QueryEngine::OnTimer(Instant aNow)
{
  Await(mAdmission.OnTimer(aNow));
  while (!mWakes.empty() && mWakes.begin()->first <= aNow) {
    const QueryId query = mWakes.begin()->second;
    ArmQuery(query, std::nullopt);
    Absorb(query, mRunning.at(query).mCoordinator->OnTimer(aNow), aNow);
  }
  if (aNow - mTidiedAt >= kTidyInterval) {
    mTidiedAt = aNow;
    mSelector.ForgetIdle(aNow - kObservationAge);
  }
  return Drain(aNow);
}

QueryActions
QueryEngine::OnCallerDisconnected(QueryId aQuery, Instant aNow)
{
  const auto running = mRunning.find(aQuery);
  if (running != mRunning.end()) {
    Absorb(
      aQuery, running->second.mCoordinator->OnCallerDisconnected(aNow), aNow);
  } else if (mQueued.contains(aQuery)) {
    mAdmission.OnWithdrawn(aQuery);
    Refuse(aQuery,
           { Step::Admission,
             ErrorCode::Cancelled,
             "",
             "the caller hung up before the query started" });
  }
  return Drain(aNow);
}

QueryActions
QueryEngine::OnTargetLost(const TargetName& aTarget, Instant aNow)
{
  std::vector<QueryId> queries;
  for (const auto& [query, running] : mRunning) {
    queries.push_back(query);
  }
  // The order of a hash table is no order to spend a budget in.
  std::sort(queries.begin(), queries.end());
  for (const QueryId query : queries) {
    Absorb(query,
           mRunning.at(query).mCoordinator->OnTargetLost(aTarget, aNow),
           aNow);
  }
  return Drain(aNow);
}

std::optional<Instant>
QueryEngine::NextWake() const
{
  std::optional<Instant> next = mAdmission.NextWake();
  if (!mWakes.empty() && (!next.has_value() || mWakes.begin()->first < *next)) {
    next = mWakes.begin()->first;
  }
  return next;
}

void
QueryEngine::Await(AdmissionActions aActions)
{
  for (AdmissionAction& action : aActions) {
    mPending.push_back(std::move(action));
  }
}

QueryActions
QueryEngine::Drain(Instant aNow)
{
  while (!mPending.empty()) {
    const AdmissionAction action = std::move(mPending.front());
    mPending.pop_front();
    if (const StartQuery* start = std::get_if<StartQuery>(&action)) {
      StartQueued(start->mQuery, aNow);
    } else {
      const RefuseQuery& refusal = std::get<RefuseQuery>(action);
      Refuse(refusal.mQuery, refusal.mError);
    }
  }
  return std::exchange(mActions, {});
}

void
QueryEngine::StartQueued(QueryId aQuery, Instant aNow)
{
  const auto queued = mQueued.find(aQuery);
  VERIFY(queued != mQueued.end());
  const QueryRequest& request = queued->second.mRequest;
  Result<QueryPlan> plan =
    mPlanner.Plan(request.mService, request.mCaller, {}, aNow);
  if (IsError(plan)) {
    Refuse(aQuery, ErrorOf(plan));
    Await(mAdmission.OnFinished(aQuery, aNow));
    return;
  }
  const Fingerprint fingerprint =
    FingerprintOf(request.mService, request.mQuery);
  const SendingState sending = mSuspects.IsSuspect(fingerprint, aNow)
                                 ? SendingState::Cautious
                                 : SendingState::Free;
  const QueryResources resources{ mPlanner,
                                  mSelector,
                                  mBudget,
                                  LatencyOf(request.mService),
                                  mHedgePolicy,
                                  mAttemptIds,
                                  mCounters,
                                  mSettings.mTimings,
                                  mAdmission.CountedClass(request.mClass) };
  const Instant deadline = queued->second.mDeadline;
  Running running;
  running.mFingerprint = fingerprint;
  running.mCoordinator =
    std::make_unique<QueryCoordinator>(aQuery,
                                       std::move(queued->second.mRequest),
                                       ReleaseValue(std::move(plan)),
                                       deadline,
                                       sending,
                                       resources);
  mQueued.erase(queued);
  const auto [position, isNew] = mRunning.emplace(aQuery, std::move(running));
  VERIFY(isNew);
  Absorb(aQuery, position->second.mCoordinator->Start(aNow), aNow);
}

void
QueryEngine::Refuse(QueryId aQuery, Error aError)
{
  const auto queued = mQueued.find(aQuery);
  VERIFY(queued != mQueued.end());
  // Nothing is sent for a query before it leaves the queue.
  mActions.emplace_back(
    CompleteQuery{ aQuery,
                   QueryRefusal{ queued->second.mRequest.mRequest,
                                 std::move(aError),
                                 Execution::NotRun } });
  mQueued.erase(queued);
}

void
QueryEngine::Absorb(QueryId aQuery, QueryActions aActions, Instant aNow)
{
  for (QueryAction& action : aActions) {
    if (const WakeAt* wake = std::get_if<WakeAt>(&action)) {
      ArmQuery(aQuery, wake->mAt);
    } else {
      mActions.push_back(std::move(action));
    }
  }
  const Running& running = mRunning.at(aQuery);
  Judge(running, aNow);
  if (running.mCoordinator->IsComplete()) {
    Retire(aQuery, aNow);
  }
}

void
QueryEngine::Judge(const Running& aRunning, Instant aNow)
{
  const CrashGuard& guard = aRunning.mCoordinator->Guard();
  const bool hasAnswers = aRunning.mCoordinator->MergedCount() > 0;
  // A query of death crashes each target that runs it, so an answer clears a
  // query unless its sending had to be ended. Repeats that come while it runs
  // are warned already.
  if (guard.State() == SendingState::Ended ||
      (guard.HasCrashed() && !hasAnswers)) {
    mSuspects.Suspect(aRunning.mFingerprint, aNow);
  } else if (hasAnswers && aRunning.mCoordinator->IsComplete()) {
    mSuspects.Clear(aRunning.mFingerprint);
  }
}

void
QueryEngine::Retire(QueryId aQuery, Instant aNow)
{
  ArmQuery(aQuery, std::nullopt);
  mRunning.erase(aQuery);
  Await(mAdmission.OnFinished(aQuery, aNow));
}

void
QueryEngine::ArmQuery(QueryId aQuery, std::optional<Instant> aAt)
{
  Running& running = mRunning.at(aQuery);
  if (running.mWakeAt.has_value()) {
    mWakes.erase({ *running.mWakeAt, aQuery });
  }
  running.mWakeAt = aAt;
  if (aAt.has_value()) {
    mWakes.emplace(*aAt, aQuery);
  }
}

LatencyEstimator&
QueryEngine::LatencyOf(const ServiceName& aService)
{
  return mLatencies.try_emplace(aService, mSettings.mHedgeQuantile)
    .first->second;
}

} // namespace verbenachute
