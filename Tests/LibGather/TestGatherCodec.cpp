#include <LibGather/GatherCodec.h>

#include <doctest/doctest.h>
#include <random>

namespace verbenachute {

namespace {

GatherRequest
Request()
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
  return GatherRequest{ DelegationNumber(77),
                        seconds(5),
                        DelegationRequest{
                          std::make_shared<const CallerRequest>(request),
                          PlanVersion(12),
                          { 0, 3, 899 },
                          milliseconds(250),
                          DelegationUrgency::Always,
                          std::string(16, '\x80') } };
}

GatherResponse
Report()
{
  DelegationReport report;
  report.mAnswered = { { 3, "signature", std::string(32, '\xff') },
                       { 0, "other", "" } };
  report.mFloor = std::string(16, '\x7f');
  report.mUnanswered = {
    { 899, AttemptState::Running, TargetName("i-1") },
    { 7, AttemptState::NotRun, TargetName() },
  };
  return GatherResponse{ DelegationNumber(77), report, true };
}

} // namespace

TEST_CASE("Requests survive encoding and decoding unchanged")
{
  const GatherRequest sent = Request();
  const Result<GatherMessage> result = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(result));
  const GatherRequest& decoded = std::get<GatherRequest>(ValueOf(result));
  CHECK(decoded.mNumber == sent.mNumber);
  CHECK(decoded.mSent == sent.mSent);
  CHECK(decoded.mDelegationRequest.mPlan == sent.mDelegationRequest.mPlan);
  CHECK(decoded.mDelegationRequest.mShardIndexes ==
        sent.mDelegationRequest.mShardIndexes);
  CHECK(decoded.mDelegationRequest.mTimeLeft ==
        sent.mDelegationRequest.mTimeLeft);
  CHECK(decoded.mDelegationRequest.mUrgency == DelegationUrgency::Always);
  CHECK(decoded.mDelegationRequest.mFloor == sent.mDelegationRequest.mFloor);
  CHECK(decoded.mDelegationRequest.mRequest->mId ==
        sent.mDelegationRequest.mRequest->mId);
  CHECK(decoded.mDelegationRequest.mRequest->mMethod == "POST");
  CHECK(decoded.mDelegationRequest.mRequest->mTarget == "/a/b?c=d");
  CHECK(decoded.mDelegationRequest.mRequest->mHost == "h.example");
  CHECK(decoded.mDelegationRequest.mRequest->mCaller == CallerId("h.example"));
  CHECK(decoded.mDelegationRequest.mRequest->mFields.All() ==
        sent.mDelegationRequest.mRequest->mFields.All());
  CHECK(decoded.mDelegationRequest.mRequest->mBody ==
        sent.mDelegationRequest.mRequest->mBody);
}

TEST_CASE("Responses and cancellations survive encoding and decoding unchanged")
{
  const GatherResponse sent = Report();
  const Result<GatherMessage> result = DecodeGather(EncodeGather(sent));
  REQUIRE(!IsError(result));
  const GatherResponse& decoded = std::get<GatherResponse>(ValueOf(result));
  CHECK(decoded.mNumber == sent.mNumber);
  CHECK(decoded.mIsFinal);
  CHECK(decoded.mAnswer == sent.mAnswer);

  const GatherResponse refusal{ DelegationNumber(1),
                                DelegationRefusal{ RefusalReason::Poisonous },
                                true };
  const Result<GatherMessage> refused = DecodeGather(EncodeGather(refusal));
  REQUIRE(!IsError(refused));
  CHECK(std::get<GatherResponse>(ValueOf(refused)).mAnswer == refusal.mAnswer);

  const Result<GatherMessage> cancellation =
    DecodeGather(EncodeGather(GatherCancellation{
      DelegationNumber(2), CancelReason::CallerDisconnected }));
  REQUIRE(!IsError(cancellation));
  CHECK(std::get<GatherCancellation>(ValueOf(cancellation)).mReason ==
        CancelReason::CallerDisconnected);
}

TEST_CASE(
  "Truncated messages are rejected and corrupted ones are handled safely")
{
  std::mt19937 random(3);
  for (const std::string& complete :
       { EncodeGather(Request()), EncodeGather(Report()) }) {
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
  GatherRequest request = Request();
  request.mDelegationRequest.mShardIndexes = { 3, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(request))));
  request.mDelegationRequest.mShardIndexes = { 4, 3 };
  CHECK(IsError(DecodeGather(EncodeGather(request))));
}

// Guards against a peer that sends a request to targets without its tenant.
TEST_CASE("The tenant of a request survives encoding and decoding")
{
  for (const std::optional<std::uint32_t> priority :
       { std::optional<std::uint32_t>(3), std::optional<std::uint32_t>() }) {
    GatherRequest sent = Request();
    const std::shared_ptr<CallerRequest> request =
      std::make_shared<CallerRequest>(*sent.mDelegationRequest.mRequest);
    request->mTenant = TenantName("t");
    request->mTenantPriority = priority;
    sent.mDelegationRequest.mRequest = request;
    const Result<GatherMessage> result = DecodeGather(EncodeGather(sent));
    REQUIRE(!IsError(result));
    const CallerRequest& decoded =
      *std::get<GatherRequest>(ValueOf(result)).mDelegationRequest.mRequest;
    CHECK(decoded.mTenant == TenantName("t"));
    CHECK(decoded.mTenantPriority == priority);
  }
}

} // namespace verbenachute
