#include <Common/IndexData.h>

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute::standins {

namespace {

constexpr std::uint64_t kMostHitsOfShard = 4;
/// Scores have six decimals, so short JSON text carries them without loss.
constexpr std::uint64_t kScoreSteps = 1000000;

Hit
HitOf(const std::string& aSource, std::uint64_t aNumber)
{
  const std::string text = aSource + "/" + std::to_string(aNumber);
  const std::uint64_t hash = StableHash(text);
  Hit hit;
  hit.mIdentifier = "d-" + std::to_string(hash);
  hit.mScore =
    static_cast<double>(hash % kScoreSteps) / static_cast<double>(kScoreSteps);
  hit.mText = text;
  return hit;
}

} // namespace

std::vector<Hit>
HitsOfShard(const ServiceName& aService,
            IndexVersion aVersion,
            ShardId aShard,
            const std::string& aQuery,
            std::size_t aLimit)
{
  const std::string source =
    aService.value() + "/v" + std::to_string(aVersion.value()) + "/s" +
    std::to_string(aShard.value()) + "/" +
    std::to_string(FingerprintOf(aService, aQuery).value());
  const std::uint64_t count = 1 + StableHash(source) % kMostHitsOfShard;
  std::vector<Hit> hits;
  for (std::uint64_t number = 0; number < count; ++number) {
    hits.push_back(HitOf(source, number));
  }
  SortAndCut(hits, aLimit);
  return hits;
}

void
SortAndCut(std::vector<Hit>& aHits, std::size_t aLimit)
{
  const auto before = [](const Hit& aLeft, const Hit& aRight) {
    return aLeft.mScore != aRight.mScore
             ? aLeft.mScore > aRight.mScore
             : aLeft.mIdentifier < aRight.mIdentifier;
  };
  std::sort(aHits.begin(), aHits.end(), before);
  if (aHits.size() > aLimit) {
    aHits.resize(aLimit);
  }
}

} // namespace verbenachute::standins
