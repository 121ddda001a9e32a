#include <LibForward/RecordFloorEstimator.h>
#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <functional>
#include <random>
#include <vector>

namespace verbenachute {

namespace {

constexpr std::size_t kShards = 30;

std::string
Record(char aFirst)
{
  return std::string(1, aFirst) + std::string(kRecordBytes - 1, '.');
}

/// The greatest records of all shards; their leading bytes are uniformly
/// distributed up to the greatest value.
std::string
RandomAnswer(std::mt19937_64* aRandom,
             std::size_t aRecordsPerShard,
             std::size_t aMaximumRecords,
             std::uint64_t aGreatest = ~std::uint64_t{ 0 })
{
  std::vector<std::uint64_t> values(kShards * aRecordsPerShard);
  for (std::uint64_t& value : values) {
    value = (*aRandom)() % aGreatest;
  }
  std::sort(values.begin(), values.end(), std::greater<>());
  values.resize(aMaximumRecords);
  std::string records;
  for (const std::uint64_t value : values) {
    for (int shift = 56; shift >= 0; shift -= 8) {
      records += static_cast<char>(value >> shift);
    }
    records += std::string(8, '.');
  }
  return records;
}

std::string
Least(const std::string& aRecords)
{
  return aRecords.substr(aRecords.size() - kRecordBytes);
}

} // namespace

TEST_CASE("Records below the floor and beyond the count are left out, and the "
          "floor says so")
{
  const std::string one = Record('b') + Record('e') + Record('a');
  const std::string other = Record('d') + Record('c');
  const std::vector<std::string_view> parts = { one, other };
  SUBCASE("all fit")
  {
    const SelectedRecords selected = SelectTopRecords(parts, 5, "");
    CHECK(selected.mParts[0] == Record('e') + Record('b') + Record('a'));
    CHECK(selected.mParts[1] == Record('d') + Record('c'));
    CHECK(selected.mFloor.empty());
  }
  SUBCASE("more than the answer holds")
  {
    const SelectedRecords selected = SelectTopRecords(parts, 3, "");
    CHECK(selected.mParts[0] == Record('e'));
    CHECK(selected.mParts[1] == Record('d') + Record('c'));
    CHECK(selected.mFloor == Record('c'));
  }
  SUBCASE("some are below the floor; one that equals it stays")
  {
    const SelectedRecords selected = SelectTopRecords(parts, 5, Record('d'));
    CHECK(selected.mParts[0] == Record('e'));
    CHECK(selected.mParts[1] == Record('d'));
    CHECK(selected.mFloor == Record('d'));
  }
  SUBCASE("none is below the floor")
  {
    const SelectedRecords selected = SelectTopRecords(parts, 5, Record('a'));
    CHECK(selected.mFloor.empty());
  }
}

TEST_CASE("The estimated floor spares records and is almost never too high")
{
  std::mt19937_64 random(1);
  for (const std::size_t maximumRecords : { 5U, 50U }) {
    CAPTURE(maximumRecords);
    RecordFloorEstimator estimator;
    std::size_t misses = 0;
    std::size_t estimates = 0;
    double distances = 0;
    for (int i = 0; i < 4000; ++i) {
      const std::string answer = RandomAnswer(&random, 62, maximumRecords);
      const std::string floor = estimator.Estimate(kShards, maximumRecords);
      if (!floor.empty()) {
        ++estimates;
        if (Least(answer) < floor) {
          ++misses;
          estimator.OnMiss();
        }
        distances += 256 - static_cast<unsigned char>(floor.front());
      }
      estimator.Observe(answer, kShards, maximumRecords);
    }
    CHECK(estimates > 3000);
    CHECK(misses * 500 <= estimates);
    // The floor is in the upper tenth of the values on average, where no more
    // than 186 of the 1860 records are.
    CHECK(distances / static_cast<double>(estimates) < 25.6);
  }
}

TEST_CASE("A node that has just started has a floor after a few answers, and "
          "it is seldom too high")
{
  std::mt19937_64 random(3);
  for (const std::size_t maximumRecords : { 5U, 50U }) {
    CAPTURE(maximumRecords);
    int misses = 0;
    int estimates = 0;
    for (int start = 0; start < 200; ++start) {
      RecordFloorEstimator estimator;
      for (int i = 0; i < 24; ++i) {
        const std::string answer = RandomAnswer(&random, 62, maximumRecords);
        const std::string floor = estimator.Estimate(kShards, maximumRecords);
        CHECK(floor.empty() == (i < 4));
        estimates += floor.empty() ? 0 : 1;
        misses += Least(answer) < floor ? 1 : 0;
        estimator.Observe(answer, kShards, maximumRecords);
      }
    }
    CHECK(estimates == 4000);
    CHECK(misses * 200 <= estimates);
  }
}

TEST_CASE("Misses stay rare if answers have outliers")
{
  std::mt19937_64 random(4);
  RecordFloorEstimator estimator;
  int misses = 0;
  for (int i = 0; i < 20000; ++i) {
    // One answer in 50 comes from few records.
    const std::string answer = RandomAnswer(&random, i % 50 == 0 ? 6 : 62, 50);
    const bool isMiss = Least(answer) < estimator.Estimate(kShards, 50);
    misses += isMiss ? 1 : 0;
    if (isMiss) {
      estimator.OnMiss();
    }
    estimator.Observe(answer, kShards, 50);
  }
  CHECK(misses <= 40);
}

TEST_CASE("There is no floor for answers of another shape or of too few "
          "records, and a lower one after a miss")
{
  std::mt19937_64 random(2);
  RecordFloorEstimator estimator;
  const auto observe = [&](int aAnswers) {
    for (int i = 0; i < aAnswers; ++i) {
      estimator.Observe(RandomAnswer(&random, 62, 50), kShards, 50);
    }
  };
  observe(3);
  CHECK(estimator.Estimate(kShards, 50).empty());
  observe(97);
  REQUIRE(!estimator.Estimate(kShards, 50).empty());
  CHECK(estimator.Estimate(kShards - 10, 50).empty());
  CHECK(estimator.Estimate(kShards, 10).empty());
  SUBCASE("a miss lowers it, a further one more")
  {
    const std::string floor = estimator.Estimate(kShards, 50);
    estimator.OnMiss();
    const std::string afterMiss = estimator.Estimate(kShards, 50);
    CHECK(afterMiss < floor);
    estimator.OnMiss();
    CHECK(estimator.Estimate(kShards, 50) < afterMiss);
    for (int i = 0; i < 40; ++i) {
      estimator.OnMiss();
    }
    CHECK(estimator.Estimate(kShards, 50).empty());
  }
  SUBCASE("the index is cut into another number of shards")
  {
    estimator.Observe(RandomAnswer(&random, 62, 50), kShards + 10, 50);
    CHECK(estimator.Estimate(kShards, 50).empty());
    CHECK(estimator.Estimate(kShards + 10, 50).empty());
  }
  SUBCASE("answers that are not full are ignored")
  {
    estimator.Observe(Record('a'), kShards, 50);
    CHECK(!estimator.Estimate(kShards, 50).empty());
  }
  SUBCASE("answers that vary by orders of magnitude give no floor")
  {
    for (int i = 0; i < 200; ++i) {
      estimator.Observe(
        RandomAnswer(
          &random, 62, 50, i % 2 == 0 ? ~std::uint64_t{ 0 } : 1U << 20),
        kShards,
        50);
    }
    CHECK(estimator.Estimate(kShards, 50).empty());
  }
}

} // namespace verbenachute
