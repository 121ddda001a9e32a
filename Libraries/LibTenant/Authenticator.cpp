#include <LibTenant/Authenticator.h>

namespace verbenachute {

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
