#include "RolloutFleet.h"

#include <doctest/doctest.h>

#include <string>

namespace verbenachute {

namespace {

using Response = RolloutFleet::Response;
using Options = RolloutFleet::Options;

constexpr std::uint64_t kSeeds = 5;
constexpr Duration kEnd = seconds(20);
const Response kGood{ false, milliseconds(30) };
const Response kFailed{ true, milliseconds(30) };
const Response kSlow{ false, milliseconds(200) };

Response
Good(Duration /*aElapsed*/, std::size_t /*aRoute*/, double /*aChance*/)
{
  return kGood;
}

RolloutFleet::Version
BadFrom(Duration aFrom, double aShare, const Response& aBad)
{
  return [=](Duration aElapsed, std::size_t, double aChance) {
    return aElapsed >= aFrom && aChance < aShare ? aBad : kGood;
  };
}

void
CheckRules(const RolloutFleet& aFleet)
{
  CHECK(aFleet.IsWithinExposure());
  CHECK(aFleet.SentAfterRollback() == 0);
}

void
CheckEnd(const Options& aOptions,
         const RolloutFleet::Version& aVersion,
         RolloutPhase aPhase)
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    Options options = aOptions;
    options.mSeed = seed;
    RolloutFleet fleet(options, aVersion);
    fleet.RunUntil(kEnd);
    CHECK(fleet.StoredPhase() == aPhase);
    CHECK(fleet.CutRequests() == 0);
    CheckRules(fleet);
  }
}

} // namespace

// Guards against orders that are never completed, and against old targets that
// stop under requests.
TEST_CASE("A good version is done before the deadline")
{
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    CAPTURE(seed);
    RolloutFleet fleet(Options{ .mSeed = seed }, Good);
    fleet.RunUntil(seconds(12));
    CHECK(fleet.StoredPhase() == RolloutPhase::Done);
    CHECK(fleet.CutRequests() == 0);
    CheckRules(fleet);
  }
}

TEST_CASE("A good version on two routes and at other rates is done")
{
  CheckEnd(Options{ .mRoutes = 2 }, Good, RolloutPhase::Done);
  CheckEnd(Options{ .mRate = 120 }, Good, RolloutPhase::Done);
}

// Each guards against a version that is bad in one way and is not recognized.
TEST_CASE("A bad version is rolled back")
{
  CheckEnd(
    Options(), BadFrom(seconds(0), 0.4, kFailed), RolloutPhase::RolledBack);
  CheckEnd(
    Options(), BadFrom(seconds(6), 0.6, kFailed), RolloutPhase::RolledBack);
  CheckEnd(
    Options(), BadFrom(seconds(0), 0.5, kSlow), RolloutPhase::RolledBack);
  CheckEnd(Options(), BadFrom(seconds(0), 1, kSlow), RolloutPhase::RolledBack);
  const auto badRoute = [](Duration, std::size_t aRoute, double aChance) {
    return aRoute == 1 && aChance < 0.6 ? kFailed : kGood;
  };
  CheckEnd(Options{ .mRoutes = 2 }, badRoute, RolloutPhase::RolledBack);
}

// Guards against a switch that exposes too many requests to a version that
// fails only then.
TEST_CASE("A version that turns bad just before the deadline stays in bounds")
{
  for (const int from : { 10'000, 10'900, 11'200, 11'300, 11'400 }) {
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
      CAPTURE(from);
      CAPTURE(seed);
      RolloutFleet fleet(Options{ .mSeed = seed },
                         BadFrom(milliseconds(from), 1, kFailed));
      fleet.RunUntil(kEnd);
      CHECK(fleet.StoredPhase() == RolloutPhase::RolledBack);
      CheckRules(fleet);
    }
  }
}

// Guards against a version that fails too seldom to be recognized in canary.
TEST_CASE("A version with a tenth of bad responses is rolled back")
{
  CheckEnd(
    Options(), BadFrom(seconds(0), 0.1, kFailed), RolloutPhase::RolledBack);
}

// Guards against orders that end with their coordinator.
TEST_CASE("A successor continues when the coordinator is killed")
{
  for (const int at : { 30, 100, 5'000, 10'900, 11'100 }) {
    CAPTURE(at);
    RolloutFleet fleet(Options(), Good);
    fleet.RunUntil(milliseconds(at));
    const NodeName killed = fleet.Coordinator();
    fleet.Kill(killed);
    fleet.RunUntil(milliseconds(at) + seconds(2));
    fleet.Restart(killed);
    fleet.RunUntil(kEnd);
    const bool isEnded = fleet.StoredPhase() == RolloutPhase::Done ||
                         fleet.StoredPhase() == RolloutPhase::RolledBack;
    CHECK(isEnded);
    CheckRules(fleet);
  }
}

// Guards against a switch without the store, and against an order that is left
// open after an outage.
TEST_CASE("An outage of the store in any phase ends within the rules")
{
  for (const int at : { 0, 4'000, 10'700, 10'900, 11'300 }) {
    for (const auto& version :
         { RolloutFleet::Version(Good), BadFrom(seconds(5), 0.7, kFailed) }) {
      CAPTURE(at);
      RolloutFleet fleet(Options(), version);
      fleet.RunUntil(milliseconds(at));
      fleet.SetStoreDown(true);
      fleet.RunUntil(milliseconds(at) + seconds(3));
      fleet.SetStoreDown(false);
      fleet.RunUntil(kEnd);
      const bool isEnded = fleet.StoredPhase() == RolloutPhase::Done ||
                           fleet.StoredPhase() == RolloutPhase::RolledBack;
      CHECK(isEnded);
      CheckRules(fleet);
    }
  }
}

// Guards against a stop that waits for the store.
TEST_CASE("A bad version gets nothing more while the store is down")
{
  RolloutFleet fleet(Options(), BadFrom(seconds(3), 0.8, kFailed));
  fleet.RunUntil(seconds(2));
  fleet.SetStoreDown(true);
  fleet.RunUntil(kEnd);
  CHECK(fleet.StoredPhase() == RolloutPhase::Canary);
  CheckRules(fleet);
}

// Guards against a switch that takes effect after its coordinator gave it up.
TEST_CASE("Late writes and concurrent coordinators stay within the rules")
{
  for (const int delay : { 300, 1'000, 2'000 }) {
    CAPTURE(delay);
    RolloutFleet fleet(Options(), BadFrom(seconds(5), 0.7, kFailed));
    fleet.RunUntil(seconds(1));
    fleet.SetLateWrites(milliseconds(delay));
    fleet.RunUntil(seconds(3));
    fleet.Kill(fleet.Coordinator());
    fleet.RunUntil(kEnd);
    CHECK(fleet.StoredPhase() == RolloutPhase::RolledBack);
    CheckRules(fleet);
  }
  for (const auto& version :
       { RolloutFleet::Version(Good), BadFrom(seconds(5), 0.7, kFailed) }) {
    RolloutFleet fleet(Options(), version);
    fleet.SplitViews();
    fleet.RunUntil(kEnd);
    CheckRules(fleet);
  }
}

// Guards against counts that are added twice or needed without loss.
TEST_CASE("Lost and repeated reports change no outcome")
{
  const Options options{ .mLoss = 0.3, .mRepeats = true };
  CheckEnd(
    options, BadFrom(seconds(2), 0.6, kFailed), RolloutPhase::RolledBack);
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    RolloutFleet fleet(Options{ .mLoss = 0.3, .mRepeats = true, .mSeed = seed },
                       Good);
    fleet.RunUntil(kEnd);
    CHECK(fleet.CutRequests() == 0);
    CheckRules(fleet);
  }
}

} // namespace verbenachute
