#include <LibWire/MessageCodec.h>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

namespace verbenachute {

namespace {

SubQuery
ExampleSubQuery()
{
  SubQuery message;
  message.mQuery = QueryId(7);
  message.mAttempt = AttemptId(9);
  message.mKind = AttemptKind::Hedge;
  message.mTarget = TargetName("doca-1");
  message.mService = ServiceName("painel-doca");
  message.mRequest = RequestId("r-1");
  message.mShard = ShardId(3);
  message.mVersion = IndexVersion(4);
  message.mTimeLeft = milliseconds(50);
  message.mText = "gel packs";
  message.mLimit = 20;
  return message;
}

std::vector<PeerMessage>
ExampleBatch()
{
  SubAnswer answer;
  answer.mAttempt = AttemptId(9);
  answer.mOutcome =
    ShardResult{ IndexVersion(4), ShardId(3), { Hit{ "d-1", 0.5, "x" } } };
  SubAnswer failed;
  failed.mOutcome =
    SubFailure{ Error{ Step::Gate, ErrorCode::Overloaded, "doca-1", "full" },
                Execution::NotRun };
  QueryAnswer merged;
  merged.mCoverage = Coverage{ 2, 1, { ShardId(1) } };
  return { ExampleSubQuery(),
           answer,
           failed,
           SubCancel{ AttemptId(5) },
           RelayedRequest{ RelayId(1), QueryRequest{} },
           RelayedOutcome{ RelayId(1), merged } };
}

} // namespace

TEST_CASE("An encoded batch is decoded to the same messages")
{
  const Result<std::vector<PeerMessage>> decoded =
    DecodeBatch(EncodeBatch(ExampleBatch()));
  REQUIRE(!IsError(decoded));
  const std::vector<PeerMessage>& messages = ValueOf(decoded);
  REQUIRE(messages.size() == 6);
  CHECK(std::get<SubQuery>(messages[0]).mText == "gel packs");
  CHECK(std::get<SubQuery>(messages[0]).mTimeLeft == milliseconds(50));
  const SubAnswer& answer = std::get<SubAnswer>(messages[1]);
  CHECK(std::get<ShardResult>(answer.mOutcome).mHits[0].mIdentifier == "d-1");
  const SubFailure& failure =
    std::get<SubFailure>(std::get<SubAnswer>(messages[2]).mOutcome);
  CHECK(failure.mExecution == Execution::NotRun);
  CHECK(failure.mError.mPeer == "doca-1");
  const RelayedOutcome& relay = std::get<RelayedOutcome>(messages[5]);
  CHECK(std::get<QueryAnswer>(relay.mOutcome).mCoverage.mMissing[0] ==
        ShardId(1));
}

TEST_CASE("Truncated and corrupted batches give errors and no crash")
{
  const std::string bytes = EncodeBatch(ExampleBatch());
  for (std::size_t length = 0; length < bytes.size(); ++length) {
    CHECK(IsError(DecodeBatch(std::string_view(bytes).substr(0, length))));
  }
  CHECK(IsError(DecodeBatch(bytes + "x")));
  pcg32 random(42);
  for (int round = 0; round < 20000; ++round) {
    std::string corrupted = bytes;
    corrupted[random(static_cast<std::uint32_t>(corrupted.size()))] =
      static_cast<char>(random());
    // A corrupted byte inside a string gives another valid batch, so the result
    // may be either; decoding only has to end.
    const Result<std::vector<PeerMessage>> ignored = DecodeBatch(corrupted);
    CHECK((IsError(ignored) || ValueOf(ignored).size() == 6));
  }
}

} // namespace verbenachute
