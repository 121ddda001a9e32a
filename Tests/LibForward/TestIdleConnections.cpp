#include <LibForward/IdleConnections.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A connection is not used shortly before the target closes it")
{
  CHECK(IsReusable({ seconds(4), seconds(5) }));
  CHECK(!IsReusable({ milliseconds(4400), seconds(5) }));
  CHECK(!IsReusable({ seconds(31), seconds(300) }));
  CHECK(!IsReusable({ Duration(0), Duration(0) }));
}

TEST_CASE("Of several idle connections to a target only the most recently used "
          "one stays open")
{
  // Guards against targets at their connection limit after all nodes lost power
  // at once: the connections that the nodes left open count against the limit
  // until they time out, and the restarted nodes must still be able to connect.
  // 8 nodes share 26 connections per target.
  const Duration keepAlive = seconds(60);
  const std::vector<IdleConnection> idle = { { seconds(2), keepAlive },
                                             { milliseconds(800), keepAlive },
                                             { seconds(3), keepAlive } };
  CHECK(SurplusConnections(idle) == std::vector<std::size_t>{ 0, 2 });
  const std::vector<IdleConnection> recentlyUsed = {
    { milliseconds(20), keepAlive }, { milliseconds(300), keepAlive }
  };
  CHECK(SurplusConnections(recentlyUsed).empty());
  CHECK(SurplusConnections({}).empty());
  CHECK(SurplusConnections({ { seconds(40), keepAlive } }).size() == 1);
}

} // namespace verbenachute
