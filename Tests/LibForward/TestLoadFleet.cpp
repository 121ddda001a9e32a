#include "LoadFleet.h"

#include <doctest/doctest.h>

#include <algorithm>
#include <cstdio>
#include <limits>

// Load pattern: more queries than the targets can serve, from kinds that share
// all shards. Without load admission the queries in progress take each other's
// slots and next to none is answered within its objective.

namespace verbenachute {

namespace {

constexpr std::size_t kLong = 0;
constexpr std::size_t kUrgent = 1;
constexpr Duration kRunTime = seconds(3);
constexpr double kCountedSeconds = 2;
constexpr double kLoads[] = { 1, 1.5, 2, 3, 5 };

/// The route mix of the first deployment; at a load of 1 the work of all
/// queries equals the slots of the targets.
std::vector<LoadFleet::Kind>
Kinds()
{
  constexpr double kSlotsOfShard = 6;
  constexpr double kUsualWork = 25.1 * 0.028 + 14.5 * 0.0092;
  const double scale = kSlotsOfShard / kUsualWork;
  return { { "long",
             25.1 * scale,
             milliseconds(28),
             milliseconds(300),
             milliseconds(3000),
             1,
             0.95 },
           { "urgent",
             14.5 * scale,
             microseconds(9200),
             milliseconds(80),
             milliseconds(1200),
             0,
             0.85 } };
}

void
Print(const char* aName, double aLoad, const LoadFleet& aFleet)
{
  std::printf("%-8s load %.1f goodput %6.1f/s",
              aName,
              aLoad,
              static_cast<double>(aFleet.Good()) / kCountedSeconds);
  for (const std::size_t kind : { kLong, kUrgent }) {
    const LoadFleet::Counts& counts = aFleet.Of(kind);
    std::printf("  %s: %zu good %zu late %zu failed %zu refused %zu",
                kind == kLong ? "long" : "urgent",
                counts.mOffered,
                counts.mGood,
                counts.mLate,
                counts.mFailed,
                counts.mRefused);
  }
  std::printf(
    "  refusals %zu late %zu\n", aFleet.mRefusals, aFleet.mLateRefusals);
}

} // namespace

TEST_CASE("Goodput stays near its peak at several times the capacity, the most "
          "urgent kind degrades last, and refusals come at once")
{
  double peak = 0;
  double leastOverloaded = std::numeric_limits<double>::infinity();
  for (const double load : kLoads) {
    CAPTURE(load);
    LoadFleet off(LoadAdmissionMode::Off, Kinds(), 1);
    off.Run(load, kRunTime);
    Print("off", load, off);
    LoadFleet fleet(LoadAdmissionMode::Automatic, Kinds(), 1);
    fleet.Run(load, kRunTime);
    Print("auto", load, fleet);
    const auto good = static_cast<double>(fleet.Good());
    peak = std::max(peak, good);
    if (load >= 3) {
      leastOverloaded = std::min(leastOverloaded, good);
      CHECK(off.Good() < fleet.Good() / 2);
    }
    CHECK(fleet.Of(kUrgent).GoodShare() >= fleet.Of(kLong).GoodShare());
    CHECK(fleet.mLateRefusals * 100 <= fleet.mRefusals);
  }
  CHECK(leastOverloaded >= 0.9 * peak);
}

TEST_CASE(
  "Urgent queries at three times their rate with a third of the targets "
  "slow do not make the others' answers late")
{
  const std::vector<double> factors{ 2, 3 };
  const auto run = [&](LoadAdmissionMode aMode) {
    LoadFleet fleet(aMode, Kinds(), 2);
    fleet.SlowTargets(5, milliseconds(1000), milliseconds(2500));
    fleet.Run(0.6, kRunTime, factors);
    Print(aMode == LoadAdmissionMode::Off ? "off" : "auto", 0.6, fleet);
    return fleet.Good();
  };
  CHECK(run(LoadAdmissionMode::Automatic) > 2 * run(LoadAdmissionMode::Off));
}

TEST_CASE("Load admission changes no attempt while the targets do not queue")
{
  std::vector<TargetName> sent[2];
  for (const LoadAdmissionMode mode :
       { LoadAdmissionMode::Off, LoadAdmissionMode::On }) {
    LoadFleet fleet(mode, Kinds(), 3);
    fleet.Run(0.02, kRunTime);
    CHECK(fleet.mRefusals == 0);
    sent[mode == LoadAdmissionMode::On ? 1 : 0] = fleet.mSentTo;
  }
  CHECK(!sent[0].empty());
  CHECK(sent[0] == sent[1]);
}

} // namespace verbenachute
