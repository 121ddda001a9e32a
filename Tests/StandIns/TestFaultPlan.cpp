#include <Deployment/FaultPlan.h>

#include <doctest/doctest.h>
#include <set>

namespace verbenachute::standins {

TEST_CASE("A seed draws the same faults each time, all of them in their time")
{
  std::set<FaultKind> drawn;
  for (std::uint64_t seed = 1; seed <= 60; ++seed) {
    const std::vector<PlannedFault> faults = DrawFaults(seed, seconds(30));
    const std::vector<PlannedFault> again = DrawFaults(seed, seconds(30));
    REQUIRE(faults.size() == again.size());
    for (std::size_t i = 0; i < faults.size(); ++i) {
      CHECK(faults[i].mKind == again[i].mKind);
      CHECK(faults[i].mAt == again[i].mAt);
      CHECK(faults[i].mAt + faults[i].mLength <= seconds(21));
      drawn.insert(faults[i].mKind);
    }
  }
  CHECK(drawn.size() ==
        static_cast<std::size_t>(FaultKind::DomainOutByOperator) + 1);
}

} // namespace verbenachute::standins
