#include <platform/RequestWire.h>

#include <LibRouting/KeyHash.h>

#include <doctest/doctest.h>

namespace verbenachute::platform {

namespace {

HttpResponse
Response(int aStatus, std::vector<HttpField> aFields)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mFields.All() = std::move(aFields);
  return response;
}

/// All bytes that an exchange sends.
std::string
TextOf(const HttpClientStream::Exchange& aExchange)
{
  return *aExchange.mSharedHead + aExchange.mRequest + *aExchange.mSharedBody;
}

} // namespace

TEST_CASE(
  "A request is forwarded unchanged except for the deadline, the target "
  "and hop-by-hop fields")
{
  HttpCall call;
  call.mMethod = "POST";
  call.mTarget = "/a/b?c=%20";
  call.mBody = "body";
  call.mConnectionUse = ConnectionUse::First;
  call.mFields.Add("Host", "h.example");
  call.mFields.Add("Request-Id", "r1");
  call.mFields.Add("Deadline-Ms", "300.5");
  call.mFields.Add("Expect-Instance", "forged");
  call.mFields.Add("Connection", "keep-alive");
  call.mFields.Add("X-Kept", "1");
  const CallerRequestPointer request =
    ReadCallerRequest(&call, milliseconds(6));
  CHECK(request->mId == RequestId("r1"));
  CHECK(request->mHost == "h.example");
  CHECK(request->mTimeLimit == Duration(300500));
  CHECK(request->mConnectTime == milliseconds(6));
  SendAction send;
  send.mTarget = TargetName("i-1");
  send.mRequest = request;
  send.mTimeLeft = milliseconds(250);
  CHECK(TextOf(TargetExchange(send)) ==
        "POST /a/b?c=%20 HTTP/1.1\r\nHost: h.example\r\nRequest-Id: r1\r\n"
        "X-Kept: 1\r\nDeadline-Ms: 250\r\nExpect-Instance: i-1\r\n"
        "Content-Length: 4\r\n\r\nbody");
}

// Guards against copies of a request for each of many shards.
TEST_CASE("Attempts of a request share its body and the start of its head")
{
  HttpCall call;
  call.mMethod = "POST";
  call.mTarget = "/";
  call.mBody = "body";
  SendAction send;
  send.mRequest = ReadCallerRequest(&call, Duration(0));
  const HttpClientStream::Exchange one = TargetExchange(send);
  const HttpClientStream::Exchange other = TargetExchange(send);
  CHECK(one.mSharedHead == other.mSharedHead);
  CHECK(one.mSharedBody.get() == &send.mRequest->mBody);
  CHECK(other.mSharedBody.get() == &send.mRequest->mBody);
}

TEST_CASE("What a response says of the request")
{
  const HttpField stamp{ "Server-Stamp", "x" };
  const HttpField notExecuted{ "Not-Executed", "1" };
  const struct
  {
    int mStatus;
    std::vector<HttpField> mFields;
    ReplyKind mKind;
  } cases[] = {
    { 200, { stamp }, ReplyKind::Answered },
    { 200, {}, ReplyKind::Failed },
    { 500, { stamp }, ReplyKind::Failed },
    { 503, {}, ReplyKind::Failed },
    { 503, { notExecuted }, ReplyKind::Declined },
    { 429, { notExecuted }, ReplyKind::Declined },
    { 421, {}, ReplyKind::WrongTarget },
    { 504, { stamp }, ReplyKind::Failed },
  };
  for (const auto& entry : cases) {
    CAPTURE(entry.mStatus);
    CHECK(ReadTargetResponse(Response(entry.mStatus, entry.mFields)).mKind ==
          entry.mKind);
  }
  for (const auto& [status, readsAsNotRun] : { std::pair(200, false),
                                               std::pair(408, true),
                                               std::pair(421, true),
                                               std::pair(429, true),
                                               std::pair(500, false),
                                               std::pair(502, false),
                                               std::pair(503, true),
                                               std::pair(504, false) }) {
    CAPTURE(status);
    CHECK(ReadTargetResponse(Response(status, { stamp })).mReadsAsNotRun ==
          readsAsNotRun);
  }
  const PartReply withLoad =
    ReadTargetResponse(Response(200, { stamp, { "server-load", "3,1,8" } }));
  REQUIRE(withLoad.mLoad.has_value());
  CHECK(withLoad.mLoad->mWaiting == 1);
  CHECK(!withLoad.mLoad->mSlowdownPercent.has_value());
  const PartReply withSlowdown = ReadTargetResponse(
    Response(200, { stamp, { "server-load", "2,5,2,740" } }));
  REQUIRE(withSlowdown.mLoad.has_value());
  CHECK(withSlowdown.mLoad->mSlowdownPercent == 740U);
  CHECK(!ReadTargetResponse(Response(200, { { "Server-Load", "many" } }))
           .mLoad.has_value());
}

// Guards against targets that are sent more than the rate they name.
TEST_CASE("The rate that a target names is read and bounded")
{
  const auto read = [](const char* aValue) {
    HttpResponse response;
    response.mStatus = 200;
    response.mFields.Add("Server-Stamp", "s");
    response.mFields.Add("Server-Limit", aValue);
    return ReadTargetResponse(std::move(response));
  };
  CHECK(read("24.4").mNamedRate == std::optional(24.4));
  CHECK(read("24.4").mUnreadableFields.empty());
  CHECK(read("24.4").mFields.Find("Server-Limit") == nullptr);
  CHECK(read("0").mNamedRate == std::optional(0.1));
  CHECK(!read("1e300").mNamedRate.has_value());
  CHECK(read("1e300").mUnreadableFields.empty());
  for (const char* value : { "-1", "many", "", "nan", "inf", "3,4", "1e999" }) {
    CAPTURE(value);
    CHECK(!read(value).mNamedRate.has_value());
    CHECK(read(value).mUnreadableFields == "Server-Limit");
  }
  HttpResponse without;
  without.mStatus = 200;
  CHECK(!ReadTargetResponse(std::move(without)).mNamedRate.has_value());
}

// Guards against new work for targets that leave or have turned work away.
TEST_CASE("What a target says of leaving and of a pause is read and bounded")
{
  const auto read = [](int aStatus, const char* aName, const char* aValue) {
    HttpResponse response;
    response.mStatus = aStatus;
    response.mFields.Add("Not-Executed", "1");
    response.mFields.Add(aName, aValue);
    return ReadTargetResponse(std::move(response));
  };
  CHECK(read(200, "Server-Leaving", "1").mIsLeaving);
  CHECK(read(503, "Server-Leaving", "1").mIsLeaving);
  CHECK(!read(503, "Server-Leaving", "0").mIsLeaving);
  CHECK(read(503, "Server-Leaving", "0").mUnreadableFields.empty());
  CHECK(!read(200, "Server-Leaving", "soon").mIsLeaving);
  CHECK(read(200, "Server-Leaving", "soon").mUnreadableFields ==
        "Server-Leaving");
  CHECK(read(503, "Retry-After", "1.5").mPause == milliseconds(1500));
  CHECK(read(503, "Retry-After", "1e9").mPause == seconds(60));
  CHECK(read(503, "Retry-After", "1.5").mKind == ReplyKind::Declined);
  CHECK(!read(429, "Retry-After", "1.5").mPause.has_value());
  CHECK(!read(503, "Retry-After", "0").mPause.has_value());
  CHECK(read(503, "Retry-After", "0").mUnreadableFields.empty());
  for (const char* value :
       { "-1", "", "nan", "inf", "Wed, 21 Oct 2026 07:28:00 GMT" }) {
    CAPTURE(value);
    CHECK(!read(503, "Retry-After", value).mPause.has_value());
    CHECK(read(503, "Retry-After", value).mUnreadableFields == "Retry-After");
  }
}

TEST_CASE("Only a failure to connect proves that nothing was sent")
{
  CHECK(AttemptFailureOf(StreamFailure::NotConnected) ==
        AttemptFailure::NotSent);
  CHECK(AttemptFailureOf(StreamFailure::ClosedBeforeResponse) ==
        AttemptFailure::ConnectionLost);
  CHECK(AttemptFailureOf(StreamFailure::ClosedDuringResponse) ==
        AttemptFailure::ResponseTruncated);
  CHECK(AttemptFailureOf(StreamFailure::TooLarge) ==
        AttemptFailure::MalformedResponse);
  CHECK(AttemptFailureOf(StreamFailure::Malformed) ==
        AttemptFailure::MalformedResponse);
}

TEST_CASE("An address lookup is parsed and its response formatted")
{
  HttpCall call;
  call.mMethod = "GET";
  call.mTarget = "/resolve?Name=p.example&Region=r&Zone=z";
  const std::optional<AddressLookup> lookup = ReadAddressLookup(call);
  REQUIRE(lookup.has_value());
  CHECK(lookup->mDomain == FailureDomain("z"));
  CHECK(AddressResponseBody({ { "10.1.0.9", 8104 } }, seconds(2)) ==
        R"({"addrs":["10.1.0.9:8104"],"ttl_s":2.0})");
  call.mTarget = "/other";
  CHECK(!ReadAddressLookup(call).has_value());
}

// Guards against a target that gets an API key or a tenant's name from a
// caller.
TEST_CASE("The key and the tenant that a caller sends are taken away")
{
  HttpCall call;
  call.mFields.Add("authorization", "bearer  key-1");
  call.mFields.Add("Tenant-Id", "forged");
  const std::shared_ptr<CallerRequest> request =
    ReadCallerRequest(&call, Duration(0));
  CHECK(TakeKey(request.get()) == HashKey("key-1"));
  CHECK(request->mFields.Find("Authorization") == nullptr);
  CHECK(request->mFields.Find("Tenant-Id") == nullptr);
  request->mTenant = TenantName("t");
  SendAction action;
  action.mRequest = request;
  CHECK(TextOf(TargetExchange(action)).find("Tenant-Id: t\r\n") !=
        std::string::npos);
}

TEST_CASE("Other credentials, or several, are no key")
{
  for (const std::vector<std::string>& values :
       std::vector<std::vector<std::string>>{
         {}, { "Basic abc" }, { "Bearer" }, { "Bearer a", "Bearer b" } }) {
    HttpCall call;
    for (const std::string& value : values) {
      call.mFields.Add("Authorization", value);
    }
    const std::shared_ptr<CallerRequest> request =
      ReadCallerRequest(&call, Duration(0));
    CHECK(!TakeKey(request.get()).has_value());
    CHECK(request->mFields.Find("Authorization") == nullptr);
  }
}

} // namespace verbenachute::platform
