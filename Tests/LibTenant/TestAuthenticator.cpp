#include <LibTenant/Authenticator.h>

#include <LibRouting/KeyHash.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

ServingPlan
PlanWithTenants()
{
  ServingPlan::Content content;
  Route route;
  route.mHost = "h";
  route.mPathPrefix = "/closed/";
  content.mRoutes.push_back(route);
  route.mPathPrefix = "/open/";
  route.mAccess = RouteAccess::Public;
  content.mRoutes.push_back(route);
  content.mTenants = {
    Tenant{ TenantName("a"), { HashKey("key-a1"), HashKey("key-a2") }, 1, {} },
    Tenant{ TenantName("b"), { HashKey("key-b") }, std::nullopt, {} },
  };
  return ServingPlan(std::move(content));
}

AuthenticationResult
Check(const ServingPlan& aPlan,
      const char* aPath,
      const std::optional<KeyHash>& aKey,
      PlanFreshness aFreshness = PlanFreshness::Current)
{
  return Authenticate(aPlan, aPlan.FindRoute("h", aPath), aKey, aFreshness);
}

} // namespace

// Guards against a request that is forwarded under the name of another tenant.
TEST_CASE("Each key belongs to its tenant")
{
  const ServingPlan plan = PlanWithTenants();
  const auto tenantOf = [&](const char* aKey) {
    const AuthenticationResult result = Check(plan, "/closed/x", HashKey(aKey));
    REQUIRE(std::holds_alternative<Authenticated>(result));
    return std::get<Authenticated>(result).mTenant->mName;
  };
  CHECK(tenantOf("key-a1") == TenantName("a"));
  CHECK(tenantOf("key-a2") == TenantName("a"));
  CHECK(tenantOf("key-b") == TenantName("b"));
}

// Guards against a request without a valid key that reaches a target.
TEST_CASE("Unknown and missing keys are rejected, except on public routes")
{
  const ServingPlan plan = PlanWithTenants();
  CHECK(std::holds_alternative<KeyUnknown>(
    Check(plan, "/closed/x", HashKey("key-c"))));
  CHECK(
    std::holds_alternative<KeyUnknown>(Check(plan, "/closed/x", std::nullopt)));
  const AuthenticationResult open = Check(plan, "/open/x", std::nullopt);
  REQUIRE(std::holds_alternative<Authenticated>(open));
  CHECK(std::get<Authenticated>(open).mTenant == nullptr);
}

// Guards against the final status 401 for a key that a newer plan has added.
TEST_CASE("A node whose plan may be stale does not decide on unknown keys")
{
  const ServingPlan plan = PlanWithTenants();
  CHECK(std::holds_alternative<KeyUndecided>(
    Check(plan, "/closed/x", HashKey("key-c"), PlanFreshness::MayBeStale)));
  CHECK(std::holds_alternative<Authenticated>(
    Check(plan, "/closed/x", HashKey("key-b"), PlanFreshness::MayBeStale)));
}

TEST_CASE("A plan without tenants asks for no key")
{
  const ServingPlan plan{ ServingPlan::Content() };
  CHECK(std::holds_alternative<Authenticated>(
    Check(plan, "/closed/x", std::nullopt)));
}

TEST_CASE("A digest is that of FIPS 180-2 for the same text")
{
  CHECK(HashKey("abc").value()[0] == 0xba);
  CHECK(HashKey("abc").value()[31] == 0xad);
  CHECK(EqualInConstantTime(HashKey("abc"), HashKey("abc")));
  CHECK(!EqualInConstantTime(HashKey("abc"), HashKey("abd")));
}

// Guards against 401 for a valid key on a node that has lost store and peers.
TEST_CASE("A plan counts as current while the store or a peer confirms it")
{
  const auto freshness = [](std::optional<Duration> aAge,
                            std::uint64_t aOwn,
                            std::uint64_t aNewest) {
    return FreshnessOf(
      PlanKnowledge{ aAge, PlanVersion(aOwn), PlanVersion(aNewest) });
  };
  CHECK(freshness(seconds(1), 7, 7) == PlanFreshness::Current);
  CHECK(freshness(seconds(1), 8, 7) == PlanFreshness::Current);
  CHECK(freshness(seconds(1), 7, 8) == PlanFreshness::MayBeStale);
  CHECK(freshness(seconds(5), 7, 7) == PlanFreshness::MayBeStale);
  CHECK(freshness(std::nullopt, 7, 7) == PlanFreshness::MayBeStale);
}

} // namespace verbenachute
