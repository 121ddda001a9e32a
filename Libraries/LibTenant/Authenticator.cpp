#include <LibTenant/Authenticator.h>

namespace verbenachute {

namespace {

// Longer than the interval of the probes of the store (2.5 s) and the time that
// a peer needs to tell of a change; a change of the plan is due within 5 s.
constexpr Duration kMaximumStoreAge = seconds(4);

} // namespace

PlanFreshness
FreshnessOf(const PlanKnowledge& aKnowledge)
{
  const bool isCurrent = aKnowledge.mStoreAge.has_value() &&
                         *aKnowledge.mStoreAge <= kMaximumStoreAge &&
                         aKnowledge.mOwnVersion >= aKnowledge.mNewestVersion;
  return isCurrent ? PlanFreshness::Current : PlanFreshness::MayBeStale;
}

AuthenticationResult
Authenticate(const ServingPlan& aPlan,
             const Route* aRoute,
             const std::optional<KeyHash>& aKey,
             PlanFreshness aFreshness)
{
  if (aPlan.Tenants().empty() || aRoute == nullptr ||
      aRoute->mAccess == RouteAccess::Public) {
    return Authenticated();
  }
  if (!aKey.has_value()) {
    return KeyUnknown();
  }
  const Tenant* tenant = aPlan.FindTenantOfKey(*aKey);
  if (tenant != nullptr) {
    return Authenticated{ tenant };
  }
  if (aFreshness == PlanFreshness::MayBeStale) {
    return KeyUndecided();
  }
  return KeyUnknown();
}

} // namespace verbenachute
