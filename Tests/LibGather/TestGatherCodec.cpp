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

TEST_CASE("An order comes through unchanged")
{
  const GatherOrder sent = Order();
  const Result<GatherMessage> read = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(read));
  const GatherOrder& got = std::get<GatherOrder>(ValueOf(read));
  CHECK(got.mNumber == sent.mNumber);
  CHECK(got.mSent == sent.mSent);
  CHECK(got.mOrder.mPlan == sent.mOrder.mPlan);
  CHECK(got.mOrder.mPlaces == sent.mOrder.mPlaces);
  CHECK(got.mOrder.mTimeLeft == sent.mOrder.mTimeLeft);
  CHECK(got.mOrder.mRequest->mId == sent.mOrder.mRequest->mId);
  CHECK(got.mOrder.mRequest->mMethod == "POST");
  CHECK(got.mOrder.mRequest->mTarget == "/a/b?c=d");
  CHECK(got.mOrder.mRequest->mHost == "h.example");
  CHECK(got.mOrder.mRequest->mCaller == CallerId("h.example"));
  CHECK(got.mOrder.mRequest->mFields.All() ==
        sent.mOrder.mRequest->mFields.All());
  CHECK(got.mOrder.mRequest->mBody == sent.mOrder.mRequest->mBody);
}

TEST_CASE("Answers and recalls come through unchanged")
{
  const GatherAnswer sent = Report();
  const Result<GatherMessage> read = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(read));
  const GatherAnswer& got = std::get<GatherAnswer>(ValueOf(read));
  CHECK(got.mNumber == sent.mNumber);
  CHECK(got.mLast);
  CHECK(got.mAnswer == sent.mAnswer);

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

TEST_CASE("Cut, changed and hostile messages are refused or read, never more")
{
  std::mt19937 random(3);
  for (const std::string& whole :
       { EncodeGather(Order()), EncodeGather(Report()) }) {
    for (std::size_t size = 0; size < whole.size(); ++size) {
      CHECK(IsError(DecodeGather(std::string_view(whole).substr(0, size))));
    }
    for (int i = 0; i < 3000; ++i) {
      std::string changed = whole;
      changed[random() % changed.size()] = static_cast<char>(random());
      static_cast<void>(DecodeGather(changed));
    }
  }
  CHECK(IsError(DecodeGather("")));
  CHECK(IsError(DecodeGather(std::string(4096, '\x91'))));
  // An array that claims four thousand million elements.
  CHECK(IsError(DecodeGather("\x91\xdd\xff\xff\xff\xff")));
}

TEST_CASE("Places that do not rise are malformed")
{
  GatherOrder order = Order();
  order.mOrder.mPlaces = { 3, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(order))));
  order.mOrder.mPlaces = { 4, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(order))));
}

} // namespace verbenachute
