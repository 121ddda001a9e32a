#include "QuerySimulation.h"

#include <doctest/doctest.h>

#include <cstdio>
#include <cstdlib>

namespace verbenachute {

namespace {

constexpr std::size_t kQueries = 25;
constexpr std::uint64_t kDefaultSeeds = 2000;

// Reads a number from the environment, for longer runs and single seeds.
std::uint64_t
Number(const char* aVariable, std::uint64_t aDefault)
{
  const char* text = std::getenv(aVariable);
  return text == nullptr ? aDefault : std::strtoull(text, nullptr, 10);
}

// Prints the schedule with the fewest queries that still breaks a promise.
void
PrintShortened(std::uint64_t aSeed)
{
  for (std::size_t queries = 1; queries <= kQueries; ++queries) {
    QuerySimulation simulation(aSeed, queries, Tracing::On);
    if (simulation.Run().empty()) {
      continue;
    }
    std::printf("seed %llu breaks with %zu queries:\n",
                static_cast<unsigned long long>(aSeed),
                queries);
    for (const std::string& line : simulation.mTrace) {
      std::printf("  %s\n", line.c_str());
    }
    return;
  }
}

} // namespace

TEST_CASE("Random schedules of faults break no promise")
{
  const std::uint64_t first = Number("QUERY_FIRST_SEED", 1);
  const std::uint64_t count = Number("QUERY_SEEDS", kDefaultSeeds);
  std::size_t whole = 0;
  std::size_t partial = 0;
  std::size_t refused = 0;
  QueryCounters total;
  for (std::uint64_t seed = first; seed < first + count; ++seed) {
    CAPTURE(seed);
    QuerySimulation simulation(seed, kQueries, Tracing::Off);
    const std::vector<std::string>& broken = simulation.Run();
    if (!broken.empty()) {
      PrintShortened(seed);
      FAIL(broken.front());
    }
    whole += simulation.mWhole;
    partial += simulation.mPartial;
    refused += simulation.mRefused;
    total.mFirstAttempts += simulation.Counters().mFirstAttempts;
    total.mHedges += simulation.Counters().mHedges;
    total.mRetries += simulation.Counters().mRetries;
    total.mReplans += simulation.Counters().mReplans;
    total.mPoisonSuspected += simulation.Counters().mPoisonSuspected;
    total.mDroppedClosedAttempt += simulation.Counters().mDroppedClosedAttempt;
    total.mDroppedWrongShard += simulation.Counters().mDroppedWrongShard;
    total.mDroppedWrongVersion += simulation.Counters().mDroppedWrongVersion;
  }
  // A run in which a mechanism never acted would prove nothing of it.
  if (count >= kDefaultSeeds) {
    CHECK(whole > 0);
    CHECK(partial > 0);
    CHECK(refused > 0);
    CHECK(total.mHedges > 0);
    CHECK(total.mRetries > 0);
    CHECK(total.mReplans > 0);
    CHECK(total.mPoisonSuspected > 0);
    CHECK(total.mDroppedClosedAttempt > 0);
    CHECK(total.mDroppedWrongShard > 0);
    CHECK(total.mDroppedWrongVersion > 0);
  }
  std::printf("seeds %llu to %llu: whole %zu, partial %zu, refused %zu, first "
              "attempts %llu, hedges %llu, retries %llu, replans %llu\n",
              static_cast<unsigned long long>(first),
              static_cast<unsigned long long>(first + count - 1),
              whole,
              partial,
              refused,
              static_cast<unsigned long long>(total.mFirstAttempts),
              static_cast<unsigned long long>(total.mHedges),
              static_cast<unsigned long long>(total.mRetries),
              static_cast<unsigned long long>(total.mReplans));
}

} // namespace verbenachute
