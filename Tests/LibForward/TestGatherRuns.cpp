#include "GatherWorld.h"

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("Randomised runs over several nodes: attempts are counted over both "
          "nodes of a delegation, and an answer is made of the parts it names")
{
  std::size_t delegations = 0;
  std::size_t whole = 0;
  std::size_t partial = 0;
  std::size_t sends = 0;
  std::size_t twiceAtOne = 0;
  for (std::uint32_t seed = 1; seed <= 200; ++seed) {
    CAPTURE(seed);
    GatherWorld world(seed);
    world.Play(120);
    delegations += world.mDelegations;
    whole += world.mWhole;
    partial += world.mPartial;
    sends += world.mSends;
    twiceAtOne += world.mTwiceAtOne;
  }
  // Both kinds of answers and many delegations were seen.
  CHECK(delegations > 10'000);
  CHECK(whole > 10'000);
  CHECK(partial > 500);
  CHECK(twiceAtOne * 100 < sends);
}

} // namespace verbenachute
