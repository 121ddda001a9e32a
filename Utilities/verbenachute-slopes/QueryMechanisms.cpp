#include "Mechanisms.h"
#include "SyntheticSite.h"

#include <LibCore/Verify.h>
#include <LibQuery/QueryEngine.h>
#include <LibQuery/ResultMerger.h>
#include <LibWire/MessageCodec.h>

#include <array>

namespace verbenachute {

namespace {

constexpr std::uint32_t kHits = 20;

std::vector<Hit>
SomeHits(std::uint32_t aShard)
{
  std::vector<Hit> hits;
  for (std::uint32_t rank = 0; rank < kHits; ++rank) {
    const std::string name =
      "document-" + std::to_string(aShard) + "-" + std::to_string(rank);
    hits.push_back(Hit{ name, 1.0 / (1 + rank + aShard % 7), "rutting km 12" });
  }
  return hits;
}

SubAnswer
AnswerTo(const SubQuery& aSubQuery)
{
  SubAnswer answer;
  answer.mQuery = aSubQuery.mQuery;
  answer.mAttempt = aSubQuery.mAttempt;
  answer.mOutcome = ShardResult{ aSubQuery.mVersion,
                                 aSubQuery.mShard,
                                 SomeHits(aSubQuery.mShard.value()) };
  return answer;
}

std::vector<SubQuery>
SubQueriesOf(const QueryActions& aActions)
{
  std::vector<SubQuery> subQueries;
  for (const QueryAction& action : aActions) {
    if (const SendSubQuery* send = std::get_if<SendSubQuery>(&action)) {
      subQueries.push_back(send->mSubQuery);
    }
  }
  return subQueries;
}

void
FillCatalogue(const SyntheticSite& aSite,
              std::uint32_t aShards,
              QueryEngine* aEngine)
{
  const NodeIdentity holder{ NodeName("node-1"), Incarnation(1) };
  std::uint32_t target = 0;
  for (const TargetName& name : aSite.View()->AllTargets()) {
    TargetState state;
    state.mTarget = name;
    state.mCondition = TargetCondition::Ready;
    state.mVersions = { HeldVersion{
      IndexVersion(1), aShards, { ShardId(target % aShards) } } };
    state.mSequence = 1;
    aEngine->Catalogue().Apply(holder, state);
    ++target;
  }
}

} // namespace

Measurement
MeasureCodec()
{
  constexpr std::size_t kBatches = 2000;
  Measurement measurement{ "batch codec",
                           "messages in a batch",
                           "one sub-query and its answer, both directions",
                           {} };
  for (const std::size_t size : { 1UL, 8UL, 32UL, 128UL }) {
    SubQuery subQuery;
    subQuery.mTarget = TargetName("painel-doca-01-a");
    subQuery.mService = ServiceName("painel-doca");
    subQuery.mRequest = RequestId("request-000001");
    subQuery.mText = "gel packs of clinic 1200";
    const std::vector<PeerMessage> questions(size, subQuery);
    const std::vector<PeerMessage> answers(size, AnswerTo(subQuery));
    std::size_t bytes = 0;
    const double time = MedianNanoseconds(kBatches * size, [&]() {
      for (std::size_t batch = 0; batch < kBatches; ++batch) {
        const std::string question = EncodeBatch(questions);
        const std::string answer = EncodeBatch(answers);
        VERIFY(!IsError(DecodeBatch(question)));
        VERIFY(!IsError(DecodeBatch(answer)));
        bytes = question.size() + answer.size();
      }
    });
    measurement.mSamples.push_back(Sample{
      size, time, static_cast<double>(bytes) / static_cast<double>(size) });
  }
  return measurement;
}

Measurement
MeasureMerge()
{
  constexpr std::uint32_t kQueries = 20;
  Measurement measurement{
    "merge", "shards of a query", "the 20 hits of one shard", {}
  };
  for (const std::uint32_t shards : { 10U, 40U, 400U, 1800U }) {
    std::vector<std::vector<Hit>> hits;
    for (std::uint32_t shard = 0; shard < shards; ++shard) {
      hits.push_back(SomeHits(shard));
    }
    const double time =
      MedianNanoseconds(std::size_t{ kQueries } * shards, [&]() {
        for (std::uint32_t query = 0; query < kQueries; ++query) {
          ResultMerger merger(kHits);
          for (std::uint32_t shard = 0; shard < shards; ++shard) {
            merger.Add(ShardId(shard), hits[shard]);
          }
          VERIFY(merger.Best().size() == kHits);
        }
      });
    measurement.mSamples.push_back(Sample{ shards, time, 0 });
  }
  return measurement;
}

Measurement
MeasureEngine()
{
  constexpr std::uint32_t kQueries = 20;
  Measurement measurement{ "query engine",
                           "shards of a query",
                           "one sub-query: plan, send, merge, account",
                           {} };
  for (const std::uint32_t shards : { 10U, 40U, 400U, 1800U }) {
    const SyntheticSite site(std::size_t{ shards } * 2);
    QueryEngine engine{ QueryEngineSettings() };
    engine.SetConfiguration(site.View());
    FillCatalogue(site, shards, &engine);
    Instant now(seconds(1));
    std::uint64_t number = 0;
    const double time =
      MedianNanoseconds(std::size_t{ kQueries } * shards, [&]() {
        for (std::uint32_t query = 0; query < kQueries; ++query) {
          now += milliseconds(1);
          QueryRequest request;
          request.mCaller = CallerId("caller");
          request.mClass = CallerClass("dock");
          request.mService = SyntheticSite::Service();
          request.mRequest = RequestId(std::to_string(++number));
          request.mQuery = request.mRequest.value();
          request.mTimeLeft = milliseconds(500);
          request.mLimit = kHits;
          const Submission submission = engine.Submit(request, now);
          for (const SubQuery& subQuery : SubQueriesOf(submission.mActions)) {
            static_cast<void>(
              engine.OnSubAnswer(AnswerTo(subQuery), now + milliseconds(1)));
          }
          VERIFY(engine.QueryCount() == 0);
        }
      });
    measurement.mSamples.push_back(Sample{ shards, time, 0 });
  }
  return measurement;
}

} // namespace verbenachute
