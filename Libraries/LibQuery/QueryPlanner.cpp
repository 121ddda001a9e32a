#include <LibQuery/QueryPlanner.h>

#include <LibQuery/SnapshotChooser.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Choices that are kept; one holds a few hundred bytes a shard.
constexpr std::size_t kMaximumChoices = 64;

/// Plans of a shard between two that try a warming replica first: a random
/// number around this one, so that no shard count keeps step with it.
constexpr std::uint32_t kPlansPerWarmUp = 32;

/// Moves the first warming replica to the front.
void
PutWarmingFirst(std::vector<ShardReplica>& aReplicas)
{
  const auto warming = std::find_if(
    aReplicas.begin(), aReplicas.end(), [](const ShardReplica& aReplica) {
      return aReplica.mCondition == TargetCondition::Warming;
    });
  if (warming != aReplicas.end()) {
    std::rotate(aReplicas.begin(), warming, warming + 1);
  }
}

} // namespace

QueryPlanner::QueryPlanner(TargetCatalogue& aCatalogue,
                           ReplicaSelector& aSelector,
                           pcg32 aRandom)
  : mCatalogue(aCatalogue)
  , mSelector(aSelector)
  , mRandom(aRandom)
  , mPlansToWarmUp(kPlansPerWarmUp)
{
}

void
QueryPlanner::SetConfiguration(std::shared_ptr<const ConfigurationView> aView)
{
  mView = std::move(aView);
  mChoices.clear();
}

Result<QueryPlan>
QueryPlanner::Plan(const ServiceName& aService,
                   const CallerId& aCaller,
                   const std::vector<IndexVersion>& aExcluded,
                   Instant aNow)
{
  Result<QueryPlan> result = Choose(aService, aCaller, aExcluded);
  if (IsError(result)) {
    return result;
  }
  QueryPlan plan = ReleaseValue(std::move(result));
  for (std::vector<ShardReplica>& candidates : plan.mCandidates) {
    mSelector.Order(candidates, aNow, mRandom);
    if (IsWarmUpDue()) {
      PutWarmingFirst(candidates);
    }
    if (!candidates.empty()) {
      mSelector.Reserve(candidates.front().mTarget);
    }
  }
  mSelector.ReleaseReserved();
  return plan;
}

bool
QueryPlanner::IsWarmUpDue()
{
  // A target leaves its cold start only by work; the gate of its holder sees
  // to it that it gets no more than it bears.
  if (--mPlansToWarmUp > 0) {
    return false;
  }
  mPlansToWarmUp = kPlansPerWarmUp / 2 + mRandom(kPlansPerWarmUp);
  return true;
}

Result<QueryPlan>
QueryPlanner::Choose(const ServiceName& aService,
                     const CallerId& aCaller,
                     const std::vector<IndexVersion>& aExcluded)
{
  if (mView == nullptr) {
    return Error{ Step::Plan,
                  ErrorCode::Unavailable,
                  "",
                  "this node has no configuration yet" };
  }
  if (mView->TargetsOf(aService).empty()) {
    return Error{ Step::Plan,
                  ErrorCode::NotFound,
                  "",
                  "no target is registered for the service" };
  }
  const std::pair<ServiceName, CallerId> key(aService, aCaller);
  const auto known = mChoices.find(key);
  if (aExcluded.empty() && known != mChoices.end() &&
      known->second.mRevision == mView->CurrentRevision() &&
      known->second.mGeneration == mCatalogue.Generation()) {
    return known->second.mPlan;
  }
  SnapshotChooser chooser(*mView, aCaller);
  Result<QueryPlan> result =
    chooser.Choose(mCatalogue.ShardMapsOf(aService, *mView), aExcluded);
  if (aExcluded.empty() && !IsError(result)) {
    if (mChoices.size() >= kMaximumChoices) {
      mChoices.clear();
    }
    mChoices[key] = Choice{ mView->CurrentRevision(),
                            mCatalogue.Generation(),
                            ValueOf(result) };
  }
  return result;
}

} // namespace verbenachute
