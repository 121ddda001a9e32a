#include "QueryService.h"

#include <LibCore/SocketAddressText.h>

#include <utility>

namespace verbenachute {

namespace {

Error
RouteError(ErrorCode aCode, std::string aPeer, const char* aMessage)
{
  return Error{ Step::Route, aCode, std::move(aPeer), aMessage };
}

} // namespace

QueryService::QueryService(const QueryEngineSettings& aSettings,
                           Dependencies aDependencies)
  : mDependencies(aDependencies)
  , mEngine(aSettings)
  , mTimer(mDependencies.mLoop,
           [this]() { CarryOut(mEngine.OnTimer(mDependencies.mLoop.Now())); })
{
  mDependencies.mDispatch.LocalAnswer().connect(
    [this](const SubAnswer& aAnswer) { OnAnswer(aAnswer); });
  mDependencies.mPeers.AnswerArrived().connect(
    [this](const PeerMessage& aMessage) {
      if (const SubAnswer* answer = std::get_if<SubAnswer>(&aMessage)) {
        OnAnswer(*answer);
      }
    });
  mDependencies.mPeers.MessageDropped().connect(
    [this](const PeerMessage& aMessage) { OnRefused(aMessage); });
  mDependencies.mPeers.LinkFailed().connect(
    [this](const SocketAddress& aAddress) { OnLinkFailed(aAddress); });
}

QueryId
QueryService::Submit(const QueryRequest& aRequest, Done aDone)
{
  Submission submission = mEngine.Submit(aRequest, mDependencies.mLoop.Now());
  mDone.emplace(submission.mQuery, std::move(aDone));
  CarryOut(submission.mActions);
  return submission.mQuery;
}

void
QueryService::CallerDisconnected(QueryId aQuery)
{
  CarryOut(mEngine.OnCallerDisconnected(aQuery, mDependencies.mLoop.Now()));
}

void
QueryService::OnConfiguration(
  const std::shared_ptr<const ConfigurationView>& aView)
{
  mView = aView;
  mEngine.SetConfiguration(aView);
}

void
QueryService::OnTargetState(const NodeIdentity& aHolder,
                            const TargetState& aState)
{
  mEngine.Catalogue().Apply(aHolder, aState);
}

void
QueryService::OnHolderLost(const NodeIdentity& aHolder)
{
  mEngine.Catalogue().HolderLost(aHolder);
}

std::vector<CoverageGroup>
QueryService::ShardGroupsOf(const ServiceName& aService)
{
  std::vector<CoverageGroup> groups;
  const std::vector<ShardMap>& maps =
    mEngine.Catalogue().ShardMapsOf(aService, *mView);
  if (maps.empty()) {
    return groups;
  }
  std::size_t shard = 0;
  for (const std::vector<ShardReplica>& replicas : maps.front().mReplicas) {
    CoverageGroup group;
    group.mName =
      "shard " + std::to_string(shard++) + " of " + aService.value();
    for (const ShardReplica& replica : replicas) {
      group.mTargets.push_back(replica.mTarget);
    }
    if (!group.mTargets.empty()) {
      groups.push_back(std::move(group));
    }
  }
  return groups;
}

std::size_t
QueryService::QueryCount() const
{
  return mEngine.QueryCount();
}

std::uint64_t
QueryService::LateAnswers() const
{
  const QueryCounters& counters = mEngine.Counters();
  return counters.mDroppedUnknownQuery + counters.mDroppedClosedAttempt;
}

void
QueryService::CarryOut(const QueryActions& aActions)
{
  for (const QueryAction& action : aActions) {
    std::visit([this](const auto& aTyped) { Perform(aTyped); }, action);
  }
  ArmTimer();
}

void
QueryService::Perform(const SendSubQuery& aAction)
{
  const SubQuery& subQuery = aAction.mSubQuery;
  CountAttempt(subQuery.mKind);
  const TargetEntry* entry = mView->FindTarget(subQuery.mTarget);
  if (entry == nullptr) {
    FailSoon(subQuery,
             RouteError(ErrorCode::NotFound,
                        subQuery.mTarget.value(),
                        "the target is no longer registered"),
             Execution::NotRun);
    return;
  }
  const Bucket bucket = BucketOf(entry->mDomain, subQuery.mTarget);
  const Instant now = mDependencies.mLoop.Now();
  if (mDependencies.mLeases.Holder().Holds(bucket, now)) {
    mDependencies.mDispatch.Submit(subQuery);
    return;
  }
  const std::optional<PeerEndpoint> holder =
    mDependencies.mHolders.HolderOf(bucket);
  if (!holder.has_value()) {
    FailSoon(subQuery,
             RouteError(ErrorCode::NotHolder,
                        BucketText(bucket),
                        "no node is known to hold the target"),
             Execution::NotRun);
    return;
  }
  mRemote.emplace(AttemptKey{ subQuery.mQuery, subQuery.mAttempt },
                  holder->mAddress);
  mDependencies.mPeers.Send(holder->mAddress, holder->mIdentity, subQuery);
}

void
QueryService::CountAttempt(AttemptKind aKind)
{
  mDependencies.mMetrics.Add(Counter::SubQueriesSent);
  if (aKind == AttemptKind::Hedge) {
    mDependencies.mMetrics.Add(Counter::Hedges);
  } else if (aKind == AttemptKind::Retry) {
    mDependencies.mMetrics.Add(Counter::Retries);
  }
}

void
QueryService::Perform(const CancelSubQuery& aAction)
{
  const auto found =
    mRemote.find(AttemptKey{ aAction.mQuery, aAction.mAttempt });
  if (found == mRemote.end()) {
    mDependencies.mDispatch.Cancel(aAction.mAttempt);
    return;
  }
  const Bucket bucket =
    BucketOf(mView->FindTarget(aAction.mTarget) == nullptr
               ? FailureDomain()
               : mView->FindTarget(aAction.mTarget)->mDomain,
             aAction.mTarget);
  const std::optional<PeerEndpoint> holder =
    mDependencies.mHolders.HolderOf(bucket);
  if (holder.has_value() && holder->mAddress == found->second) {
    mDependencies.mPeers.Send(
      holder->mAddress, holder->mIdentity, SubCancel{ aAction.mAttempt });
  }
  mRemote.erase(found);
}

void
QueryService::Perform(const WakeAt&)
{
  // ArmTimer asks the engine for the next instant of all queries.
}

void
QueryService::Perform(const CompleteQuery& aAction)
{
  ForgetAttempts(aAction.mQuery);
  // Deferred, since a query may end within the call that submits it, before
  // its submitter is known.
  mDependencies.mLoop.Defer([this, action = aAction]() {
    const auto found = mDone.find(action.mQuery);
    Done done = std::move(found->second);
    mDone.erase(found);
    done(action.mOutcome);
  });
}

void
QueryService::ForgetAttempts(QueryId aQuery)
{
  const auto first = mRemote.lower_bound(AttemptKey{ aQuery, AttemptId(0) });
  auto last = first;
  while (last != mRemote.end() && last->first.first == aQuery) {
    ++last;
  }
  mRemote.erase(first, last);
}

void
QueryService::FailSoon(const SubQuery& aSubQuery,
                       const Error& aError,
                       Execution aExecution)
{
  SubAnswer answer;
  answer.mQuery = aSubQuery.mQuery;
  answer.mAttempt = aSubQuery.mAttempt;
  answer.mOutcome = SubFailure{ aError, aExecution };
  mDependencies.mLoop.Defer([this, answer]() { OnAnswer(answer); });
}

void
QueryService::OnAnswer(const SubAnswer& aAnswer)
{
  mRemote.erase(AttemptKey{ aAnswer.mQuery, aAnswer.mAttempt });
  CarryOut(mEngine.OnSubAnswer(aAnswer, mDependencies.mLoop.Now()));
}

void
QueryService::OnRefused(const PeerMessage& aMessage)
{
  const SubQuery* subQuery = std::get_if<SubQuery>(&aMessage);
  if (subQuery == nullptr) {
    return;
  }
  FailSoon(*subQuery,
           RouteError(ErrorCode::Unreachable,
                      subQuery->mTarget.value(),
                      "the holder of the target could not be reached"),
           Execution::NotRun);
}

void
QueryService::OnLinkFailed(const SocketAddress& aAddress)
{
  std::vector<AttemptKey> lost;
  for (const std::pair<const AttemptKey, SocketAddress>& attempt : mRemote) {
    if (attempt.second == aAddress) {
      lost.push_back(attempt.first);
    }
  }
  for (const AttemptKey& key : lost) {
    SubQuery subQuery;
    subQuery.mQuery = key.first;
    subQuery.mAttempt = key.second;
    FailSoon(subQuery,
             RouteError(ErrorCode::Unreachable,
                        SocketAddressText(aAddress),
                        "the link to the holder of the target broke"),
             Execution::OutcomeUnknown);
  }
}

void
QueryService::ArmTimer()
{
  const std::optional<Instant> wake = mEngine.NextWake();
  if (wake.has_value()) {
    mTimer.Start(*wake - mDependencies.mLoop.Now());
  }
}

} // namespace verbenachute
