#include "PoisonFleet.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

// A request that crashes the targets that run it comes again for a minute. The
// users allow three further retries by nodes in touch.

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

} // namespace

} // namespace verbenachute
