#include <LibForward/ConnectionUpkeep.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A connection is not used shortly before the target closes it")
{
  CHECK(IsFitForUse({ seconds(4), seconds(5) }));
  CHECK(!IsFitForUse({ milliseconds(4400), seconds(5) }));
  CHECK(!IsFitForUse({ seconds(31), seconds(300) }));
  CHECK(!IsFitForUse({ Duration(0), Duration(0) }));
}

TEST_CASE("After a burst one connection to each target stays open")
{
  // The pattern of all nodes losing power at once: what they left open counts
  // against the target's cap until it times out, and their next lives must
  // still get in: 8 nodes, 26 connections.
  const Duration kept = seconds(60);
  const std::vector<IdleConnection> idle = { { seconds(2), kept },
                                             { milliseconds(800), kept },
                                             { seconds(3), kept } };
  CHECK(SurplusConnections(idle) == std::vector<std::size_t>{ 0, 2 });
  const std::vector<IdleConnection> busy = { { milliseconds(20), kept },
                                             { milliseconds(300), kept } };
  CHECK(SurplusConnections(busy).empty());
  CHECK(SurplusConnections({}).empty());
  CHECK(SurplusConnections({ { seconds(40), kept } }).size() == 1);
}

} // namespace verbenachute
