#include "PoisonFleet.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

// A request that crashes the targets that run it comes again for a minute. The
// users allow three further retries by nodes in touch.

// Guards against each node that starts late losing targets of its own.
TEST_CASE("A request that crashes targets, while nodes restart in turn")
{
  for (const std::size_t nodes : { 8, 83 }) {
    CAPTURE(nodes);
    PoisonFleet fleet(nodes, 4, PoisonFleet::Comeback::NewName);
    fleet.AskAnywhere(seconds(12), milliseconds(500));
    for (std::size_t i = 0; i < 8; ++i) {
      fleet.Restart(i);
      fleet.Pass(seconds(5));
      fleet.AskAnywhere(seconds(2), milliseconds(200));
    }
    CHECK(fleet.Crashes() >= 3);
    CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
  }
}

// Guards against a node that was cut off losing targets of its own.
TEST_CASE("A request that crashes targets, while nodes are cut off in turn")
{
  PoisonFleet fleet(8, 4, PoisonFleet::Comeback::NewName);
  for (std::size_t i = 0; i < 4; ++i) {
    fleet.Cut(i);
    fleet.Pass(seconds(1));
    fleet.AskAnywhere(seconds(1), milliseconds(50));
    fleet.Pass(seconds(6));
    fleet.Heal(i);
    fleet.Pass(seconds(5));
    fleet.AskAnywhere(seconds(1), milliseconds(50));
  }
  CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
}

// Guards against harmless lost connections crowding out the crashes.
TEST_CASE("A request that crashes targets, amid many lost connections")
{
  PoisonFleet fleet(8, 4, PoisonFleet::Comeback::NewName);
  for (std::size_t i = 0; i < 60; ++i) {
    for (std::size_t node = 0; node < 8; ++node) {
      fleet.LoseConnections(node, 30);
    }
    fleet.AskAnywhere(seconds(1), milliseconds(100));
  }
  CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
}

// Guards against a target that is back under its name counting once only.
TEST_CASE("A request that crashes targets that come back under their names")
{
  PoisonFleet fleet(8, 2, PoisonFleet::Comeback::SameName);
  fleet.AskAnywhere(seconds(60), milliseconds(100));
  CHECK(fleet.Crashes() >= 3);
  CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
}

// Guards against crashes in the middle of a response not counting.
TEST_CASE("A request that crashes targets after the head of the response")
{
  PoisonFleet fleet(8, 4, PoisonFleet::Comeback::NewName);
  fleet.mCrashFailure = AttemptFailure::ResponseTruncated;
  fleet.AskAnywhere(seconds(60), milliseconds(100));
  CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
}

// Guards against crashes under hedges not counting.
TEST_CASE("A request that crashes targets after it has been hedged")
{
  PoisonFleet fleet(8, 4, PoisonFleet::Comeback::NewName);
  fleet.mTimeToCrash = milliseconds(150);
  fleet.AskAnywhere(seconds(60), milliseconds(500));
  CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
}

// Guards against answers to another tenant that asks for the same path, which
// clear a request that crashes targets, and against refusing that tenant.
TEST_CASE("A request that crashes targets, beside the same path of a tenant "
          "whose requests are answered")
{
  for (const Duration interval : { milliseconds(40), milliseconds(400) }) {
    CAPTURE(interval.count());
    PoisonFleet fleet(3, 12, PoisonFleet::Comeback::NewName);
    fleet.SetHarmlessInterval(interval);
    fleet.AskAnywhere(seconds(30), seconds(1));
    CHECK(fleet.Crashes() >= 3);
    CHECK(fleet.LateRetries() <= PoisonFleet::kAllowedLateRetries);
    CHECK(fleet.HarmlessAnswered() > 60);
    CHECK(fleet.HarmlessRefused() == 0);
  }
}

// Guards against any order of events after which nodes let a request through
// that has crashed three targets.
TEST_CASE("Two requests that crash targets, under drawn disturbances")
{
  const std::vector<TenantName> tenants{ TenantName("one"), TenantName("two") };
  std::size_t crashedThree = 0;
  for (std::uint32_t seed = 1; seed <= 70; ++seed) {
    CAPTURE(seed);
    const PoisonFleet fleet = RunDrawnDisturbances(seed, tenants);
    for (const TenantName& tenant : tenants) {
      CAPTURE(tenant.value());
      crashedThree += fleet.Crashes(tenant) >= 3 ? 1 : 0;
      CHECK(fleet.LateRetries(tenant) <= PoisonFleet::kAllowedLateRetries);
    }
  }
  CHECK(crashedThree > 120);
}

} // namespace

} // namespace verbenachute
