#include "GatherSimulation.h"

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("Randomised runs over several nodes: attempts are counted over both "
          "nodes of a delegation, and an answer is made of the parts it names")
{
  std::size_t delegations = 0;
  std::size_t complete = 0;
  std::size_t partial = 0;
  std::size_t sends = 0;
  std::size_t repeatedSends = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    GatherSimulation simulation(seed);
    simulation.Run(120);
    delegations += simulation.mDelegations;
    complete += simulation.mComplete;
    partial += simulation.mPartial;
    sends += simulation.mSends;
    repeatedSends += simulation.mRepeatedSends;
  }
  // The runs contained both kinds of answers and many delegations.
  CHECK(delegations > 10'000);
  CHECK(complete > 10'000);
  CHECK(partial > 500);
  CHECK(repeatedSends * 100 < sends);
}

} // namespace verbenachute
