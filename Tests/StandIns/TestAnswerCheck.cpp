#include <Common/IndexData.h>
#include <verbenachute-load/AnswerCheck.h>

#include <doctest/doctest.h>

namespace verbenachute::load {

namespace {

constexpr std::uint32_t kShards = 4;

PlannedRequest
Request()
{
  PlannedRequest request;
  request.mRequest = RequestId("r-1");
  request.mService = ServiceName("painel-doca");
  request.mQuery = "segment 12";
  request.mLimit = 20;
  return request;
}

SiteFile
Site()
{
  SiteService service;
  service.mName = ServiceName("painel-doca");
  service.mVersions = { { IndexVersion(7), kShards },
                        { IndexVersion(8), kShards } };
  SiteFile site;
  site.mServices.push_back(service);
  return site;
}

void
AppendShard(std::vector<Hit>* aHits, IndexVersion aVersion, ShardId aShard)
{
  const PlannedRequest request = Request();
  const std::vector<Hit> found = standins::HitsOfShard(
    request.mService, aVersion, aShard, request.mQuery, request.mLimit);
  aHits->insert(aHits->end(), found.begin(), found.end());
}

/// The answer of version 7 that names shard 2 as missing, with these hits.
Json::Value
AnswerWith(std::vector<Hit> aHits)
{
  standins::SortAndCut(aHits, Request().mLimit);
  Json::Value answer;
  answer["request_id"] = "r-1";
  answer["service"] = "painel-doca";
  answer["snapshot"] = 7;
  answer["coverage"]["shards"] = kShards;
  answer["coverage"]["answered"] = kShards - 1;
  answer["coverage"]["missing"].append(2);
  answer["coverage"]["fraction"] = 0.75;
  answer["hits"] = Json::Value(Json::arrayValue);
  for (const Hit& hit : aHits) {
    Json::Value entry;
    entry["id"] = hit.mIdentifier;
    entry["score"] = hit.mScore;
    entry["text"] = hit.mText;
    answer["hits"].append(entry);
  }
  answer["extra_attempts"] = 0;
  return answer;
}

std::vector<Hit>
RightHits()
{
  std::vector<Hit> hits;
  for (const std::uint32_t shard : { 0, 1, 3 }) {
    AppendShard(&hits, IndexVersion(7), ShardId(shard));
  }
  return hits;
}

std::string
FaultOf(const Json::Value& aAnswer)
{
  return CheckAnswer(Request(), Site(), aAnswer).mFault;
}

} // namespace

TEST_CASE("A partial answer that says so is right")
{
  const AnswerVerdict verdict =
    CheckAnswer(Request(), Site(), AnswerWith(RightHits()));
  CHECK(verdict.mFault == "");
  CHECK(verdict.mFraction == doctest::Approx(0.75));
  CHECK(verdict.mShards == kShards);
}

TEST_CASE("Lost, doubled, mixed and unstated hits are wrong")
{
  std::vector<Hit> lost = RightHits();
  lost.pop_back();
  CHECK(FaultOf(AnswerWith(lost)) == "hits");

  std::vector<Hit> doubled = RightHits();
  doubled.push_back(doubled.front());
  CHECK(FaultOf(AnswerWith(doubled)) == "hits");

  std::vector<Hit> mixed;
  for (const std::uint32_t shard : { 0, 1 }) {
    AppendShard(&mixed, IndexVersion(7), ShardId(shard));
  }
  AppendShard(&mixed, IndexVersion(8), ShardId(3));
  CHECK(FaultOf(AnswerWith(mixed)) == "hits");

  std::vector<Hit> unstated = RightHits();
  AppendShard(&unstated, IndexVersion(7), ShardId(2));
  CHECK(FaultOf(AnswerWith(unstated)) == "hits");
}

TEST_CASE("Coverage that does not add up is wrong")
{
  Json::Value answer = AnswerWith(RightHits());
  answer["coverage"]["answered"] = kShards;
  CHECK(FaultOf(answer) == "coverage counts");

  answer = AnswerWith(RightHits());
  answer["coverage"]["fraction"] = 1.0;
  CHECK(FaultOf(answer) == "coverage fraction");

  answer = AnswerWith(RightHits());
  answer["coverage"]["missing"].append(2);
  CHECK(FaultOf(answer) == "missing shards");
}

TEST_CASE("A crossed answer, an unknown snapshot and other types are wrong")
{
  Json::Value answer = AnswerWith(RightHits());
  answer["request_id"] = "r-2";
  CHECK(FaultOf(answer) == "answer of another request");

  answer = AnswerWith(RightHits());
  answer["snapshot"] = 6;
  CHECK(FaultOf(answer) == "unknown snapshot");

  answer = AnswerWith(RightHits());
  answer["snapshot"] = "seven";
  CHECK(FaultOf(answer).starts_with("malformed"));
}

} // namespace verbenachute::load
