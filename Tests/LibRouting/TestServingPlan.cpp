#include <LibRouting/ServingPlan.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

Route
RouteFor(const char* aHost, const char* aPrefix)
{
  Route route;
  route.mName = std::string(aHost) + aPrefix;
  route.mHost = aHost;
  route.mPathPrefix = aPrefix;
  route.mDestination = SingleDestination{ { { ServiceName("s"), 1 } } };
  return route;
}

ServingPlan
PlanWithRoutes(std::vector<Route> aRoutes)
{
  ServingPlan::Content content;
  content.mRoutes = std::move(aRoutes);
  return ServingPlan(std::move(content));
}

} // namespace

TEST_CASE("The route with the longest prefix of the path is found")
{
  const ServingPlan plan = PlanWithRoutes({ RouteFor("a.example", "/x/"),
                                            RouteFor("a.example", "/x/y/"),
                                            RouteFor("b.example", "/") });
  const struct
  {
    const char* mHost;
    const char* mPath;
    const char* mRoute;
  } cases[] = {
    { "a.example", "/x/1", "a.example/x/" },
    { "a.example", "/x/y/1", "a.example/x/y/" },
    { "a.example", "/x/y", "a.example/x/" },
    { "a.example", "/x/yy/1", "a.example/x/" },
    { "A.Example:8104", "/x/?q=/x/y/", "a.example/x/" },
    { "b.example", "/anything", "b.example/" },
    { "a.example", "/z/1", nullptr },
    { "a.example", "/x", nullptr },
    { "c.example", "/x/1", nullptr },
    { "a.example", "", nullptr },
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.mHost);
    CAPTURE(entry.mPath);
    const Route* route = plan.FindRoute(entry.mHost, entry.mPath);
    REQUIRE((route != nullptr) == (entry.mRoute != nullptr));
    if (route != nullptr) {
      CHECK(route->mName == entry.mRoute);
    }
  }
}

TEST_CASE("The minimum number of shards is exact if the share of the shards is "
          "an integer")
{
  ShardSet shards;
  shards.mShards.resize(20);
  const std::pair<double, std::size_t> cases[] = {
    { 0.9, 18 }, { 0.89, 18 }, { 0.75, 15 }, { 1, 20 }, { 0, 1 }, { 0.05, 1 },
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.first);
    shards.mMinimumCoverage = entry.first;
    CHECK(shards.MinimumShards() == entry.second);
  }
}

} // namespace verbenachute
