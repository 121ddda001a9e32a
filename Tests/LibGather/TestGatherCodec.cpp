#include <LibGather/GatherCodec.h>

#include <doctest/doctest.h>
#include <random>

namespace verbenachute {

namespace {

GatherOrder
Order()
{
  CallerRequest request;
  request.mId = RequestId("9c41");
  request.mMethod = "POST";
  request.mTarget = "/a/b?c=d";
  request.mHost = "h.example";
  request.mCaller = CallerId("h.example");
  request.mFields.Add("Host", "h.example");
  request.mFields.Add("X", "one");
  request.mFields.Add("X", "two");
  request.mBody = std::string("bytes\0with nought", 17);
  return GatherOrder{ DelegationNumber(77),
                      seconds(5),
                      DelegatedOrder{
                        std::make_shared<const CallerRequest>(request),
                        PlanVersion(12),
                        { 0, 3, 899 },
                        milliseconds(250) } };
}

GatherAnswer
Report()
{
  DelegationReport report;
  report.mAnswered = { { 3, "signature" }, { 0, "other" } };
  report.mRecords = std::string(32, '\xff');
  report.mUnanswered = {
    { 899, AttemptState::Running, TargetName("i-1") },
    { 7, AttemptState::NotRun, TargetName() },
  };
  return GatherAnswer{ DelegationNumber(77), report, true };
}

} // namespace

TEST_CASE("Orders survive encoding and decoding unchanged")
{
  const GatherOrder sent = Order();
  const Result<GatherMessage> result = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(result));
  const GatherOrder& decoded = std::get<GatherOrder>(ValueOf(result));
  CHECK(decoded.mNumber == sent.mNumber);
  CHECK(decoded.mSent == sent.mSent);
  CHECK(decoded.mOrder.mPlan == sent.mOrder.mPlan);
  CHECK(decoded.mOrder.mPlaces == sent.mOrder.mPlaces);
  CHECK(decoded.mOrder.mTimeLeft == sent.mOrder.mTimeLeft);
  CHECK(decoded.mOrder.mRequest->mId == sent.mOrder.mRequest->mId);
  CHECK(decoded.mOrder.mRequest->mMethod == "POST");
  CHECK(decoded.mOrder.mRequest->mTarget == "/a/b?c=d");
  CHECK(decoded.mOrder.mRequest->mHost == "h.example");
  CHECK(decoded.mOrder.mRequest->mCaller == CallerId("h.example"));
  CHECK(decoded.mOrder.mRequest->mFields.All() ==
        sent.mOrder.mRequest->mFields.All());
  CHECK(decoded.mOrder.mRequest->mBody == sent.mOrder.mRequest->mBody);
}

TEST_CASE("Answers and recalls survive encoding and decoding unchanged")
{
  const GatherAnswer sent = Report();
  const Result<GatherMessage> result = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(result));
  const GatherAnswer& decoded = std::get<GatherAnswer>(ValueOf(result));
  CHECK(decoded.mNumber == sent.mNumber);
  CHECK(decoded.mLast);
  CHECK(decoded.mAnswer == sent.mAnswer);

  const GatherAnswer refusal{ DelegationNumber(1),
                              DelegationRefusal{ RefusalReason::Poisonous },
                              true };
  const Result<GatherMessage> refused = DecodeGather(EncodeGather(refusal));
  REQUIRE(!IsError(refused));
  CHECK(std::get<GatherAnswer>(ValueOf(refused)).mAnswer == refusal.mAnswer);

  const Result<GatherMessage> recall = DecodeGather(EncodeGather(
    GatherRecall{ DelegationNumber(2), RecallReason::CallerGone }));
  REQUIRE(!IsError(recall));
  CHECK(std::get<GatherRecall>(ValueOf(recall)).mReason ==
        RecallReason::CallerGone);
}

TEST_CASE(
  "Truncated messages are rejected and corrupted ones are handled safely")
{
  std::mt19937 random(3);
  for (const std::string& complete :
       { EncodeGather(Order()), EncodeGather(Report()) }) {
    for (std::size_t size = 0; size < complete.size(); ++size) {
      CHECK(IsError(DecodeGather(std::string_view(complete).substr(0, size))));
    }
    for (int i = 0; i < 3000; ++i) {
      std::string modified = complete;
      modified[random() % modified.size()] = static_cast<char>(random());
      static_cast<void>(DecodeGather(modified));
    }
  }
  CHECK(IsError(DecodeGather("")));
  CHECK(IsError(DecodeGather(std::string(4096, '\x91'))));
  // An array that claims 2^32 - 1 elements.
  CHECK(IsError(DecodeGather("\x91\xdd\xff\xff\xff\xff")));
}

TEST_CASE("Shard indexes that are not strictly ascending are malformed")
{
  GatherOrder order = Order();
  order.mOrder.mPlaces = { 3, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(order))));
  order.mOrder.mPlaces = { 4, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(order))));
}

} // namespace verbenachute
