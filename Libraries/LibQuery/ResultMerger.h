#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/SubAnswer.h>

#include <cstddef>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// Merges the hits of shards into the best ones of all. The outcome does not
/// depend on the order in which the shards answer.
class ResultMerger
{
public:
  /// Keeps at most aLimit hits.
  explicit ResultMerger(std::uint32_t aLimit);

  /// Adds the hits of one shard. Of hits with the same identifier the one with
  /// the highest score stays, of equal scores the one of the lower shard. A
  /// score that is not finite counts as the lowest.
  void Add(ShardId aShard, const std::vector<Hit>& aHits);

  /// The best hits, highest score first, equal scores by their identifiers.
  [[nodiscard]] std::vector<Hit> Best() const;

private:
  struct RankedHit
  {
    ShardId mShard;
    Hit mHit;
  };

  struct Better
  {
    bool operator()(const RankedHit& aLeft, const RankedHit& aRight) const;
  };

  using Ranking = std::set<RankedHit, Better>;

  void AddHit(RankedHit aHit);

  std::size_t mLimit;
  Ranking mRanking;
  std::unordered_map<std::string, Ranking::iterator> mByIdentifier;
};

} // namespace verbenachute
