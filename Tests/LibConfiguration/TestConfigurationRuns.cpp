#include "ConfigurationWorld.h"

#include <random>

namespace verbenachute {

namespace {

constexpr std::size_t kNodes = 4;
constexpr int kSteps = 60;

/// A schedule of faults, changes and restarts that a seed decides.
void
RunSeed(std::uint64_t aSeed)
{
  CAPTURE(aSeed);
  std::mt19937_64 random(aSeed);
  const auto below = [&random](std::uint64_t aBound) {
    return random() % aBound;
  };
  ConfigurationWorld world(kNodes);
  std::uint64_t trouble = 0;
  bool down = false;
  world.SetChooser([&](ChangeStep aStep, std::size_t) {
    const bool store = aStep <= ChangeStep::Watch;
    Fate fate;
    fate.mLost = (down && store) || below(100) < trouble;
    fate.mReplyLost = below(100) < trouble;
    fate.mTwice = below(100) < trouble;
    fate.mDelay = below(100) < trouble ? milliseconds(below(3'000))
                                       : milliseconds(below(5));
    return fate;
  });
  for (int i = 0; i < kSteps; ++i) {
    switch (below(8)) {
      case 0:
        trouble = below(40);
        break;
      case 1:
        down = below(3) == 0;
        break;
      case 2:
        world.Restart(below(kNodes));
        break;
      case 3:
        world.RaceLabel();
        break;
      default:
        world.SubmitLabel(below(kNodes));
    }
    world.RunFor(milliseconds(below(1'500)));
  }
  world.Settle();
}

} // namespace

TEST_CASE("Random schedules keep what must always hold")
{
  for (std::uint64_t seed = 1; seed <= 40; ++seed) {
    RunSeed(seed);
  }
}

} // namespace verbenachute
