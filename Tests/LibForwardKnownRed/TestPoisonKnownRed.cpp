#include "../LibForward/PoisonFleet.h"

#include <doctest/doctest.h>

namespace verbenachute {

// Cases of TestPoisonFleet that break a bound. Each stands in KNOWN-RED.txt
// until its fault is mended; then it joins the others.

// Guards against refusing requests that lose their connections beside a request
// that crashes targets.
TEST_CASE("A tenant beside a request that crashes targets is not refused")
{
  for (const std::size_t nodes : { 5, 6, 8 }) {
    for (const Duration interval : { milliseconds(40), milliseconds(100) }) {
      CAPTURE(nodes);
      CAPTURE(interval.count());
      PoisonFleet fleet(nodes, 12, PoisonFleet::Comeback::NewName);
      fleet.SetHarmlessInterval(interval);
      fleet.AskAnywhere(seconds(30), seconds(1));
      CHECK(fleet.HarmlessAnswered() > 60);
      CHECK(fleet.HarmlessRefused() == 0);
    }
  }
}

// Guards against nodes that can reach none of those that know the request, and
// let it through after it has crashed three targets.
TEST_CASE("Two requests that crash targets, seeds that break the bound")
{
  const std::vector<TenantName> tenants{ TenantName("one"), TenantName("two") };
  for (const std::uint32_t seed : { 328, 448, 911, 1570 }) {
    CAPTURE(seed);
    const PoisonFleet fleet = RunDrawnDisturbances(seed, tenants);
    for (const TenantName& tenant : tenants) {
      CHECK(fleet.LateRetries(tenant) <= PoisonFleet::kAllowedLateRetries);
    }
  }
}

} // namespace verbenachute
