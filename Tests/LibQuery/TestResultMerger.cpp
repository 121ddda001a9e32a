#include <LibQuery/ResultMerger.h>

#include <doctest/doctest.h>

#include <pcg_random.hpp>

#include <algorithm>
#include <limits>
#include <string>

namespace verbenachute {

TEST_CASE("Hits are merged by score, then by identifier, once each")
{
  ResultMerger merger(3);
  merger.Add(ShardId(1), { { "b", 2, "1" }, { "a", 2, "1" }, { "c", 1, "1" } });
  merger.Add(ShardId(0), { { "b", 2, "0" }, { "c", 3, "0" }, { "d", 1, "0" } });
  CHECK(merger.Best() ==
        std::vector<Hit>{ { "c", 3, "0" }, { "a", 2, "1" }, { "b", 2, "0" } });
  ResultMerger none(0);
  none.Add(ShardId(0), { { "a", 1, "" } });
  CHECK(none.Best().empty());
  ResultMerger odd(2);
  odd.Add(ShardId(0),
          { { "nan", std::numeric_limits<double>::quiet_NaN(), "" },
            { "low", -1, "" } });
  CHECK(odd.Best().front().mIdentifier == "low");
}

TEST_CASE("The merge does not depend on the order of the shards")
{
  pcg32 random(7);
  for (int round = 0; round < 200; ++round) {
    CAPTURE(round);
    std::vector<ShardResult> results;
    for (std::uint32_t shard = 0; shard < 5; ++shard) {
      ShardResult result{ IndexVersion(1), ShardId(shard), {} };
      for (int hit = 0; hit < 6; ++hit) {
        result.mHits.push_back({ "d-" + std::to_string(random(12)),
                                 static_cast<double>(random(4)),
                                 std::to_string(random(2)) });
      }
      results.push_back(result);
    }
    std::vector<Hit> first;
    for (int order = 0; order < 4; ++order) {
      ResultMerger merger(4);
      for (const ShardResult& result : results) {
        merger.Add(result.mShard, result.mHits);
      }
      if (order == 0) {
        first = merger.Best();
      }
      CHECK(merger.Best() == first);
      std::swap(results[random(5)], results[random(5)]);
    }
  }
}

} // namespace verbenachute
