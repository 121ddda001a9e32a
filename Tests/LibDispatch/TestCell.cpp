#include "FakeCell.h"

#include <doctest/doctest.h>

#include <cstdlib>
#include <string>

namespace verbenachute {

TEST_CASE("A cell in calm holds every bucket and answers")
{
  FakeCell cell(1, {});
  cell.Run(seconds(20));
  CHECK(cell.Violations() == "");
  CHECK(cell.HeldBuckets() == cell.Buckets());
  CHECK(cell.Answered() > 1000);
}

namespace {

/// Number of seeds: the fixed set of the checks, or CELL_SEEDS for a long run.
std::uint64_t
Seeds()
{
  const char* wanted = std::getenv("CELL_SEEDS");
  return wanted == nullptr ? 16 : std::stoull(wanted);
}

} // namespace

TEST_CASE("Randomised runs keep every promise and recover")
{
  CellFaults faults;
  faults.mCuts = 1.5;
  faults.mFreezes = 0.4;
  faults.mKills = 0.2;
  faults.mTargetCrashes = 0.3;
  faults.mMoves = 0.2;
  faults.mLate = 0.02;
  faults.mDuplicates = 0.05;
  faults.mSlowRuns = 0.02;
  faults.mPoison = 0.002;
  for (std::uint64_t seed = 1; seed <= Seeds(); ++seed) {
    CAPTURE(seed);
    FakeCell cell(seed, faults);
    cell.Run(seconds(60));
    cell.Calm();
    cell.Run(seconds(40));
    CHECK(cell.Violations() == "");
    CHECK(cell.HeldBuckets() == cell.Buckets());
  }
}

} // namespace verbenachute
