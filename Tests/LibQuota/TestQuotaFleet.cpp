#include "QuotaFleet.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

// Usual demand is the quota divided by this.
constexpr double kUsualShare = 1.6;
constexpr double kHotFactor = 7.5;
constexpr std::size_t kNodes = 12;

std::size_t
Bound(const Quota& aQuota)
{
  return static_cast<std::size_t>(QuotaFleet::kRule.WithinQuota(aQuota) +
                                  QuotaFleet::kRule.Excess(aQuota));
}

double
Usual(const Quota& aQuota)
{
  return aQuota.mRate / kUsualShare;
}

double
Hot(const Quota& aQuota)
{
  return Usual(aQuota) * kHotFactor;
}

const std::vector<Quota> kQuotas = { { 25, 25 },
                                     { 17, 17 },
                                     { 5, 5 },
                                     { 2, 2 },
                                     { 0.6, 1 } };

/// Plays a scenario for quotas of all sizes and checks the rule at the end.
void
CheckRule(const std::function<void(QuotaFleet*, const Quota&)>& aScenario)
{
  for (const Quota& quota : kQuotas) {
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
      CAPTURE(quota.mRate);
      CAPTURE(seed);
      QuotaFleet fleet(kNodes, quota, seed);
      fleet.Run(seconds(16), Usual(quota));
      aScenario(&fleet, quota);
      CHECK(fleet.MaximumInWindow() <= Bound(quota));
    }
  }
}

} // namespace

// Guards against callers within their quota that are refused.
TEST_CASE("Usual demand is granted nearly always")
{
  for (const Quota& quota : { Quota{ 25, 25 }, Quota{ 5, 5 } }) {
    QuotaFleet fleet(kNodes, quota, 7);
    fleet.Run(seconds(16), 0);
    static_cast<void>(fleet.TakeCounts());
    fleet.Run(seconds(60), Usual(quota));
    const QuotaFleet::Counts counts = fleet.TakeCounts();
    CHECK(counts.mUnknown == 0);
    CHECK(counts.mDenied * 200 <= counts.mGranted);
  }
}

// Guards against a tenant that exceeds its quota because it asks many nodes.
TEST_CASE("A hot tenant stays within the rule and uses its quota")
{
  CheckRule([](QuotaFleet* aFleet, const Quota& aQuota) {
    static_cast<void>(aFleet->TakeCounts());
    aFleet->Run(seconds(10), Hot(aQuota));
    const QuotaFleet::Counts counts = aFleet->TakeCounts();
    CHECK(static_cast<double>(counts.mGranted) + 1 >= 0.9 * aQuota.mRate * 10);
    CHECK(counts.mUnknown * 50 <= counts.mGranted + counts.mDenied);
  });
}

// Guards against a new owner that grants again what the old one has granted.
TEST_CASE("The rule holds while owners are killed, start again and stall")
{
  CheckRule([](QuotaFleet* aFleet, const Quota& aQuota) {
    aFleet->Run(seconds(2), Hot(aQuota));
    const std::size_t owner = aFleet->Owner();
    aFleet->Kill(owner);
    aFleet->Run(seconds(2), Hot(aQuota));
    aFleet->Start(owner);
    aFleet->Run(seconds(4), Hot(aQuota));
    aFleet->Stall(aFleet->Owner(), milliseconds(100));
    aFleet->Run(seconds(4), Hot(aQuota));
  });
}

// Guards against two parts of the fleet that grant the whole quota each.
TEST_CASE("The rule holds while the nodes are split in two")
{
  for (const std::set<std::size_t>& part :
       { std::set<std::size_t>{ 0, 2, 4, 6, 8, 10 },
         std::set<std::size_t>{ 0, 1, 2, 3 },
         std::set<std::size_t>{ 5 } }) {
    CheckRule([&](QuotaFleet* aFleet, const Quota& aQuota) {
      aFleet->Run(seconds(2), Hot(aQuota));
      aFleet->Split(part);
      aFleet->Run(seconds(9), Hot(aQuota));
      aFleet->Split({});
      aFleet->Run(seconds(6), Hot(aQuota));
    });
  }
}

// Guards against nodes that each count themselves the only one at their start.
TEST_CASE("The rule holds when all or half of the nodes are killed at once")
{
  for (const std::size_t killed : { kNodes, kNodes / 2 }) {
    CheckRule([&](QuotaFleet* aFleet, const Quota& aQuota) {
      aFleet->Run(seconds(2), Hot(aQuota));
      for (std::size_t node = 0; node < killed; ++node) {
        aFleet->Kill(node);
      }
      aFleet->Run(milliseconds(1000), Hot(aQuota));
      for (std::size_t node = 0; node < killed; ++node) {
        aFleet->Start(node);
        aFleet->Run(milliseconds(25), Hot(aQuota));
      }
      aFleet->Run(seconds(8), Hot(aQuota));
    });
  }
}

TEST_CASE("The rule holds with many lost datagrams")
{
  CheckRule([](QuotaFleet* aFleet, const Quota& aQuota) {
    aFleet->SetLossRate(0.3);
    aFleet->Run(seconds(10), Hot(aQuota));
  });
}

// Guards against a lowered quota that old tokens outlast.
TEST_CASE("A lowered quota binds one window later")
{
  QuotaFleet fleet(kNodes, Quota{ 25, 25 }, 3);
  fleet.Run(seconds(16), Hot({ 25, 25 }));
  const Quota lowered{ 2, 2 };
  fleet.SetQuota(lowered);
  fleet.Run(seconds(5), Hot({ 25, 25 }));
  static_cast<void>(fleet.TakeCounts());
  fleet.Run(seconds(5), Hot({ 25, 25 }));
  CHECK(fleet.TakeCounts().mGranted <= Bound(lowered));
}

// Guards against callers of a hot tenant that all return at the same moment.
TEST_CASE("Denied callers are told times that follow each other")
{
  TokenBucket bucket(BucketLimits{ 10, 1 }, 0, Instant());
  Duration last(0);
  for (int i = 0; i < 20; ++i) {
    const Duration wait = bucket.ReserveWait(Instant());
    CHECK(wait > last);
    last = wait;
  }
  CHECK(last <= TokenBucket::kMaximumWait);
}

} // namespace verbenachute
