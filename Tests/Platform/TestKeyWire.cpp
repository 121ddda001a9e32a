#include <platform/KeyWire.h>

#include <LibRouting/KeyHash.h>

#include <doctest/doctest.h>

namespace verbenachute::platform {

namespace {

const TargetName kName("i-1");

std::string
Entry(const std::string& aFields)
{
  return R"({"Backend":"b","Address":"10.128.0.9:8080","Zone":"z","Version":)"
         R"("v1","Capacity":2,"WarmupLeftMs":1500,"SeqNo":4,)" +
         aFields + "}";
}

} // namespace

TEST_CASE("Keys are classified by their name")
{
  CHECK(std::holds_alternative<PlanKey>(ClassifyKey("op/config")));
  CHECK(std::get<DomainOutKey>(ClassifyKey("op/evacuate/z")).mDomain ==
        FailureDomain("z"));
  CHECK(std::get<TargetKey>(ClassifyKey("servers/i-1")).mTarget == kName);
  CHECK(std::get<OwnKey>(ClassifyKey(OwnKeyText("nodes/n"))).mName ==
        "nodes/n");
  CHECK(std::holds_alternative<OtherKey>(ClassifyKey("op/config2")));
}

TEST_CASE("A target's entry is decoded with its units")
{
  const Result<ListedTarget> read =
    DecodeTarget(kName, Entry(R"("State":"draining","born":1700000000000)"));
  REQUIRE(!IsError(read));
  const ListedTarget& target = ValueOf(read);
  CHECK(target.mAddress == SocketAddress{ "10.128.0.9", 8080 });
  CHECK(target.mSlots == 2);
  CHECK(target.mColdTimeLeft == milliseconds(1500));
  CHECK(target.mAvailability == TargetAvailability::Draining);
  CHECK(target.mStartTime == UnixMilliseconds(1700000000000));
}

TEST_CASE(
  "An entry with a missing field or a field of another type is rejected")
{
  const std::string invalidValues[] = {
    "",
    "[]",
    "{}",
    "\xff\xfe",
    Entry(R"("State":"resting")"),
    Entry(R"("State":1)"),
    Entry(R"("State":"ready","born":1.5)"),
    Entry(R"("State":"ready","born":"1")"),
    R"({"Backend":"b","Address":"h:1","Zone":"z","Capacity":2,)"
    R"("WarmupLeftMs":0,"SeqNo":4,"State":"ready"})",
    R"({"Backend":"b","Address":"10.0.0.1:1","Zone":"z","Capacity":0,)"
    R"("WarmupLeftMs":0,"SeqNo":4,"State":"ready"})",
    R"({"Backend":"b","Address":"10.0.0.1:1","Zone":"z","Capacity":true,)"
    R"("WarmupLeftMs":0,"SeqNo":4,"State":"ready"})",
  };
  for (const std::string& value : invalidValues) {
    CAPTURE(value);
    CHECK(IsError(DecodeTarget(kName, value)));
  }
}

TEST_CASE("Invalid routes and services of a plan are skipped")
{
  const Result<DecodedPlan> read = DecodePlan(
    R"({"Version":9,"Routes":[)"
    R"({"Name":"g","Host":"h","PathPrefix":"/g/","RouteKind":"safe",)"
    R"("DeadlineMs":800,"TargetLatencyMs":50,"Priority":2,"MaxAttempts":2,)"
    R"("Gather":["a","b"],"TopK":5,"MinCoverage":0.75},)"
    R"({"Name":"s","Host":"h","PathPrefix":"/s/","RouteKind":"unsafe",)"
    R"("TrafficSplit":[{"Backend":"a","Weight":3},{"Backend":"b","Weight":1}]},)"
    R"({"Name":"bad","Host":"h","PathPrefix":"s","Backend":"a"},)"
    R"({"Name":"none","Host":"h","PathPrefix":"/n/"},7],)"
    R"("Backends":[{"Name":"a","HealthPath":"/x","MaxConns":26,"WarmupS":3.0,)"
    R"("WarmupPerS":2.5},{"Name":"b"}],)"
    R"("Limits":{"MaxHeaderBytes":100,"IdleTimeoutMs":1500}})");
  REQUIRE(!IsError(read));
  const DecodedPlan& plan = ValueOf(read);
  CHECK(plan.mContent.mVersion == PlanVersion(9));
  REQUIRE(plan.mContent.mRoutes.size() == 2);
  CHECK(plan.mSkipped.size() == 4);
  const Route& gather = plan.mContent.mRoutes[0];
  CHECK(gather.mRepeatPolicy == RepeatPolicy::Idempotent);
  CHECK(gather.mDeadline == milliseconds(800));
  CHECK(gather.mLatencyObjective == milliseconds(50));
  CHECK(std::get<ShardSet>(gather.mDestination).MinimumShards() == 2);
  CHECK(plan.mContent.mRoutes[1].mRepeatPolicy == RepeatPolicy::AtMostOnce);
  REQUIRE(plan.mContent.mServices.size() == 1);
  CHECK(plan.mContent.mServices[0].mWarmup == seconds(3));
  CHECK(plan.mContent.mServices[0].mColdRate == 2.5);
  CHECK(plan.mContent.mLimits.mHeaderBytes == 100);
  CHECK(plan.mContent.mLimits.mIdleTimeout == milliseconds(1500));
  CHECK(plan.mContent.mLimits.mBodyBytes == CallerLimits().mBodyBytes);
  CHECK(IsError(DecodePlan("{}")));
  CHECK(IsError(DecodePlan(R"({"Version":"9","Routes":[],"Backends":[]})")));
}

TEST_CASE("The tenants of a plan are decoded, and invalid ones are skipped")
{
  const Result<DecodedPlan> decoded = DecodePlan(
    R"({"Version":1,"Routes":[{"Host":"h","PathPrefix":"/","Backend":"b",)"
    R"("Public":true}],"Backends":[],"Tenants":[{"Name":"t","ApiKeys":)"
    R"(["k1","k2"],"Priority":2,"RatePerS":17.5,"Burst":3},)"
    R"({"Name":"u","ApiKeys":[7]},{"Name":"v","ApiKeys":[]}]})");
  REQUIRE(!IsError(decoded));
  const DecodedPlan& plan = ValueOf(decoded);
  REQUIRE(plan.mContent.mTenants.size() == 2);
  CHECK(
    plan.mContent.mTenants.front() ==
    Tenant{
      TenantName("t"), { HashKey("k1"), HashKey("k2") }, 2, Quota{ 17.5, 3 } });
  CHECK(!plan.mContent.mTenants.back().mQuota.IsLimited());
  CHECK(plan.mContent.mRoutes.front().mAccess == RouteAccess::Public);
  // Guards against keys in the log.
  REQUIRE(plan.mSkipped.size() == 1);
  CHECK(plan.mSkipped.front() == "tenant u");
}

// Guards against keys in the memory of a node and in copies for its peers.
TEST_CASE("A plan is kept with digests instead of API keys")
{
  const std::string plan =
    R"({"Version":1,"Routes":[],"Backends":[],"Tenants":)"
    R"([{"Name":"t","ApiKeys":["secret-1","secret-2"]}]})";
  const std::string hashed = WithKeysHashed(PlanKey(), plan);
  CHECK(hashed.find("secret") == std::string::npos);
  const Result<DecodedPlan> decoded = DecodePlan(hashed);
  REQUIRE(!IsError(decoded));
  const std::vector<KeyHash> keys = { HashKey("secret-1"),
                                      HashKey("secret-2") };
  CHECK(ValueOf(decoded).mContent.mTenants.front().mKeys == keys);
  CHECK(WithKeysHashed(TargetKey(), plan) == plan);
  CHECK(WithKeysHashed(PlanKey(), "no JSON, Tenants") == "no JSON, Tenants");
}

} // namespace verbenachute::platform
