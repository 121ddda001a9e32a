#include "GossipSimulation.h"

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

/// Draws disturbances that come in any order and overlap.
class RandomisedRun
{
public:
  explicit RandomisedRun(const GossipSimulation::Setup& aSetup)
    : mRandom(aSetup.mSeed)
    , mFleet(aSetup)
  {
    mFleet.Pass(seconds(10));
  }

  void Run(Duration aTime)
  {
    for (Duration passed(0); passed < aTime;) {
      PerformRandomEvent();
      const Duration pause = milliseconds(mRandom() % 2000);
      mFleet.Pass(pause);
      passed += pause;
    }
  }

  /// Ends all disturbances but those of nodes that are lost.
  void Calm()
  {
    mFleet.mLossPercent = 0;
    mFleet.mMaximumDelay = milliseconds(30);
    for (std::size_t i = 0; i < mFleet.size(); ++i) {
      if (mFleet.IsRunning(i) && mFleet.IsPaused(i)) {
        mFleet.Continue(i);
      }
    }
    mFleet.Pass(GossipSimulation::kNamedTime + seconds(2));
  }

  void CheckAllNameTheRunning() const
  {
    for (std::size_t i = 0; i < mFleet.size(); ++i) {
      for (std::size_t j = 0; mFleet.IsRunning(i) && j < mFleet.size(); ++j) {
        CAPTURE(i);
        CAPTURE(j);
        CHECK(mFleet.Names(i, j) == mFleet.IsRunning(j));
      }
    }
  }

  [[nodiscard]] const GossipSimulation& Fleet() const { return mFleet; }

private:
  void PerformRandomEvent()
  {
    const std::size_t node = mRandom() % mFleet.size();
    if (!mFleet.IsRunning(node)) {
      if (mRandom() % 8 == 0) {
        mFleet.Start(node);
      }
      return;
    }
    if (mFleet.IsPaused(node)) {
      mFleet.Continue(node);
      return;
    }
    switch (mRandom() % 8) {
      case 0:
        mFleet.Kill(node);
        break;
      case 1:
        mFleet.Pause(node);
        break;
      case 2:
        mFleet.mLossPercent = mRandom() % 3 * 15;
        break;
      case 3:
        mFleet.mMaximumDelay = milliseconds(30 + mRandom() % 3 * 300);
        break;
      case 4:
      case 5:
        mFleet.Announce(node);
        break;
      default:
        mFleet.Restart(node);
    }
  }

  std::mt19937 mRandom;
  GossipSimulation mFleet;
};

} // namespace

// Guards against a restarted node that takes the relayed status of a node that
// is lost for a sign of life.
TEST_CASE("Nodes that are restarted in turn do not name one that is lost")
{
  for (const std::size_t nodes : { 8, 24 }) {
    CAPTURE(nodes);
    GossipSimulation fleet({ nodes, 3, 1 });
    fleet.Pass(seconds(10));
    fleet.Kill(7);
    fleet.Pass(seconds(9));
    for (std::size_t i = 0; i < 7; ++i) {
      fleet.Restart(i);
      fleet.Pass(seconds(8));
    }
    CAPTURE(fleet.LateNames().size());
    CHECK(fleet.LateNames().empty());
  }
}

// Guards against a lost node that is named again each time when nodes have
// forgotten it and hear of it from one that has not.
TEST_CASE("A lost node that some nodes have forgotten is not named again")
{
  for (std::uint32_t seed = 1; seed <= 10; ++seed) {
    CAPTURE(seed);
    GossipSimulation fleet({ 8, 3, seed });
    fleet.Pass(seconds(10));
    // The nodes hear the last status of the lost node at different times.
    fleet.mLossPercent = 40;
    fleet.mMaximumDelay = milliseconds(600);
    fleet.Pass(seconds(2));
    fleet.Kill(7);
    fleet.Pass(seconds(5));
    fleet.mLossPercent = 0;
    fleet.Pass(seconds(260));
    CAPTURE(fleet.LateNames().size());
    CHECK(fleet.LateNames().empty());
  }
}

// Guards against a node that reads, after a pause, the last status of a node
// that ended meanwhile, and passes it on as a fresh one.
TEST_CASE("A paused node does not make the others name one that is lost")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    // Two of each domain.
    GossipSimulation fleet({ 6, 3, seed });
    fleet.Pass(seconds(10));
    fleet.Pause(2);
    fleet.Pass(milliseconds(500));
    // Only the paused node is sent this.
    fleet.Announce(5);
    fleet.Kill(5);
    fleet.Pass(seconds(12));
    fleet.Continue(2);
    fleet.Pass(seconds(10));
    CAPTURE(fleet.LateNames().size());
    CHECK(fleet.LateNames().empty());
  }
}

// Guards against any order of disturbances in which old news of a node counts
// as a sign of life, and against nodes that stay hidden.
TEST_CASE("No node in touch names a lost one under drawn disturbances")
{
  for (std::uint32_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    const std::size_t nodes = seed % 3 == 0 ? 24 : 6 + seed % 5;
    RandomisedRun run({ nodes, 3, seed });
    run.Run(seconds(150));
    run.Calm();
    for (const std::string& name : run.Fleet().LateNames()) {
      CAPTURE(name);
      CHECK(name.empty());
    }
    run.CheckAllNameTheRunning();
  }
}

// Guards against a new release that learns from nodes of the earlier one that a
// lost node is alive, or that a running one is not.
TEST_CASE("A roll-out from a release that sends no ages")
{
  for (std::uint32_t seed = 1; seed <= 20; ++seed) {
    CAPTURE(seed);
    const std::size_t nodes = seed % 2 == 0 ? 8 : 24;
    GossipSimulation fleet({ nodes, 3, seed });
    for (std::size_t i = 0; i < nodes; ++i) {
      fleet.SetRelease(i, GossipSimulation::Release::WithoutAges);
    }
    fleet.Pass(seconds(10));
    // The others know different counts of the lost node.
    fleet.mLossPercent = 5;
    fleet.Announce(nodes - 1);
    fleet.Pass(milliseconds(40));
    fleet.Kill(nodes - 1);
    fleet.Pass(seconds(9));
    for (std::size_t i = 0; i + 1 < nodes; ++i) {
      fleet.SetRelease(i, GossipSimulation::Release::Current);
      fleet.Restart(i);
      fleet.Pass(seconds(3));
    }
    CAPTURE(fleet.LateNames().size());
    CHECK(fleet.LateNames().empty());
    fleet.mLossPercent = 0;
    fleet.Pass(GossipSimulation::kContact);
    for (std::size_t i = 0; i + 1 < nodes; ++i) {
      CAPTURE(i);
      CHECK(fleet.ServingCount(i) == nodes - 1);
    }
  }
}

} // namespace verbenachute
