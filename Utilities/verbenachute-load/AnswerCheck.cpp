#include "AnswerCheck.h"

#include <Common/IndexData.h>

#include <cmath>
#include <optional>
#include <set>
#include <vector>

namespace verbenachute::load {

namespace {

constexpr double kFractionTolerance = 1e-6;

/// The missing shards, or nothing if they are named twice or do not exist.
std::optional<std::set<ShardId>>
ReadMissing(const Json::Value& aCoverage, std::uint32_t aShards)
{
  std::set<ShardId> missing;
  for (const Json::Value& shard : aCoverage["missing"]) {
    if (!shard.isUInt() || shard.asUInt() >= aShards ||
        !missing.insert(ShardId(shard.asUInt())).second) {
      return std::nullopt;
    }
  }
  return missing;
}

std::vector<Hit>
ExpectedHits(const PlannedRequest& aRequest,
             IndexVersion aSnapshot,
             std::uint32_t aShards,
             const std::set<ShardId>& aMissing)
{
  std::vector<Hit> hits;
  for (std::uint32_t shard = 0; shard < aShards; ++shard) {
    if (aMissing.contains(ShardId(shard))) {
      continue;
    }
    const std::vector<Hit> found = standins::HitsOfShard(aRequest.mService,
                                                         aSnapshot,
                                                         ShardId(shard),
                                                         aRequest.mQuery,
                                                         aRequest.mLimit);
    hits.insert(hits.end(), found.begin(), found.end());
  }
  standins::SortAndCut(hits, aRequest.mLimit);
  return hits;
}

bool
SameHits(const Json::Value& aHits, const std::vector<Hit>& aExpected)
{
  if (!aHits.isArray() || aHits.size() != aExpected.size()) {
    return false;
  }
  for (Json::ArrayIndex index = 0; index < aHits.size(); ++index) {
    const Json::Value& entry = aHits[index];
    const Hit hit{ entry["id"].asString(),
                   entry["score"].asDouble(),
                   entry["text"].asString() };
    if (hit != aExpected[index]) {
      return false;
    }
  }
  return true;
}

std::string
CheckCoverage(const Json::Value& aCoverage,
              std::uint32_t aShards,
              std::size_t aMissing,
              double* aFraction)
{
  const std::size_t answered = aShards - aMissing;
  if (aCoverage["shards"].asUInt() != aShards ||
      aCoverage["answered"].asUInt() != answered) {
    return "coverage counts";
  }
  *aFraction = static_cast<double>(answered) / aShards;
  if (std::abs(aCoverage["fraction"].asDouble() - *aFraction) >
      kFractionTolerance) {
    return "coverage fraction";
  }
  return "";
}

AnswerVerdict
CheckFields(const PlannedRequest& aRequest,
            const SiteFile& aSite,
            const Json::Value& aAnswer)
{
  AnswerVerdict verdict;
  if (aAnswer["request_id"] != aRequest.mRequest.value() ||
      aAnswer["service"] != aRequest.mService.value()) {
    verdict.mFault = "answer of another request";
    return verdict;
  }
  const SiteService* service = aSite.Find(aRequest.mService);
  const IndexVersion snapshot(aAnswer["snapshot"].asUInt64());
  const auto version = service->mVersions.find(snapshot);
  if (version == service->mVersions.end()) {
    verdict.mFault = "unknown snapshot";
    return verdict;
  }
  verdict.mShards = version->second;
  verdict.mExtraAttempts = aAnswer["extra_attempts"].asUInt();
  const std::optional<std::set<ShardId>> missing =
    ReadMissing(aAnswer["coverage"], verdict.mShards);
  if (!missing) {
    verdict.mFault = "missing shards";
    return verdict;
  }
  verdict.mFault = CheckCoverage(
    aAnswer["coverage"], verdict.mShards, missing->size(), &verdict.mFraction);
  if (verdict.mFault.empty() &&
      !SameHits(aAnswer["hits"],
                ExpectedHits(aRequest, snapshot, verdict.mShards, *missing))) {
    verdict.mFault = "hits";
  }
  return verdict;
}

} // namespace

AnswerVerdict
CheckAnswer(const PlannedRequest& aRequest,
            const SiteFile& aSite,
            const Json::Value& aAnswer)
{
  try {
    return CheckFields(aRequest, aSite, aAnswer);
  } catch (const Json::Exception& exception) {
    // Fields of another type than the interface says.
    AnswerVerdict verdict;
    verdict.mFault = std::string("malformed: ") + exception.what();
    return verdict;
  }
}

std::string
CheckRefusal(const PlannedRequest& aRequest, const Json::Value& aRefusal)
{
  return aRefusal["request_id"] == aRequest.mRequest.value()
           ? ""
           : "refusal of another request";
}

} // namespace verbenachute::load
