#include <LibForward/ForwardEngine.h>

#include <algorithm>
#include <set>

// Admission of requests while targets queue.

namespace verbenachute {

namespace {

std::vector<ServiceName>
ServicesOf(const Route& aRoute)
{
  if (const ShardSet* shards = std::get_if<ShardSet>(&aRoute.mDestination)) {
    return shards->mShards;
  }
  std::vector<ServiceName> services;
  for (const WeightedService& service :
       std::get<SingleDestination>(aRoute.mDestination).mServices) {
    services.push_back(service.mService);
  }
  return services;
}

} // namespace

Duration
ForwardEngine::WaitAt(const ServiceName& aService, Instant aNow) const
{
  std::vector<TargetBacklog> targets;
  for (const TargetRecord* target : mTargets.Of(aService)) {
    if (!target->IsDown(aNow) && !target->IsSuspect(aNow)) {
      targets.push_back(TargetBacklog{ target->Load(),
                                       aNow - target->LoadReported(),
                                       target->SentSinceReport() });
    }
  }
  return mLoad.Wait(targets);
}

std::vector<CompetingRoute>
ForwardEngine::CompetingRoutes(const Request& aRequest)
{
  std::set<ServiceName> needed;
  for (const Part& part : aRequest.mParts) {
    needed.insert(part.mService);
  }
  std::vector<CompetingRoute> competing;
  for (const Route& route : aRequest.mPlan->Routes()) {
    const std::vector<ServiceName> services = ServicesOf(route);
    const bool isShared = std::any_of(
      services.begin(), services.end(), [&](const ServiceName& aService) {
        return needed.contains(aService);
      });
    if (isShared) {
      competing.push_back(CompetingRoute{
        route.mName, route.mPriority, route.mLatencyObjective });
    }
  }
  return competing;
}

std::optional<RefusedOutcome>
ForwardEngine::LoadRefusal(const Request& aRequest, Instant aNow)
{
  if (!mLoad.IsActive()) {
    return std::nullopt;
  }
  LoadQuery query;
  for (const Part& part : aRequest.mParts) {
    query.mWaits.push_back(WaitAt(part.mService, aNow));
  }
  const bool isAnyQueueing =
    std::any_of(query.mWaits.begin(), query.mWaits.end(), [](Duration aWait) {
      return aWait > Duration(0);
    });
  if (!isAnyQueueing) {
    return std::nullopt;
  }
  query.mRoute = aRequest.mRoute->mName;
  query.mPriority = PriorityOf(aRequest);
  query.mTimeLeft = aRequest.mObjectiveAt - aNow;
  query.mMinimumShards =
    aRequest.mShards != nullptr ? aRequest.mShards->MinimumShards() : 1;
  query.mCompeting = CompetingRoutes(aRequest);
  const double random =
    static_cast<double>(mLoadRandom() - std::minstd_rand::min()) /
    static_cast<double>(std::minstd_rand::max() - std::minstd_rand::min());
  const std::optional<Duration> refusal = mLoad.Refusal(query, random);
  if (!refusal.has_value()) {
    return std::nullopt;
  }
  return RefusedOutcome{ RefusalReason::Overloaded, *refusal };
}

} // namespace verbenachute
