#include <LibCaller/QueryRequestParser.h>

#include <doctest/doctest.h>
#include <pcg_random.hpp>

#include <string>

namespace verbenachute {

namespace {

const std::string kBody =
  R"({"caller":"van-17","class":"field","service":"consulta-campo",)"
  R"("request_id":"r-1","deadline_ms":500,"idempotent":false,)"
  R"("query":"cracks","limit":20,"ticket":"node-1@5"})";

std::string
Replaced(const std::string& aFrom, const std::string& aTo)
{
  std::string body = kBody;
  body.replace(body.find(aFrom), aFrom.size(), aTo);
  return body;
}

} // namespace

TEST_CASE("A whole request is read")
{
  const Result<QueryRequest> parsed = ParseQueryRequest(kBody);
  REQUIRE(!IsError(parsed));
  const QueryRequest& request = ValueOf(parsed);
  CHECK(request.mCaller == CallerId("van-17"));
  CHECK(request.mTimeLeft == milliseconds(500));
  CHECK(request.mIdempotency == Idempotency::NonIdempotent);
  CHECK(request.mTicket->mIncarnation == Incarnation(5));
}

TEST_CASE("A request that is not as described is refused and named")
{
  const std::string bodies[] = {
    "",
    "[]",
    "null",
    "{",
    kBody + "x",
    std::string(100000, '['),
    Replaced("\"caller\":\"van-17\",", ""),
    Replaced("\"van-17\"", "\"\""),
    Replaced("\"van-17\"", "17"),
    Replaced("\"van-17\"", "\"" + std::string(200, 'a') + "\""),
    Replaced("500", "0"),
    Replaced("500", "-1"),
    Replaced("500", "1.5"),
    Replaced("500", "60001"),
    Replaced("500", "1e99"),
    Replaced("false", "\"false\""),
    Replaced("20", "0"),
    Replaced("20", "1001"),
    Replaced("node-1@5", "node-1"),
    Replaced("\"limit\"", "\"limits\""),
    Replaced("\"limit\":20", "\"limit\":20,\"limit\":21"),
  };
  for (const std::string& body : bodies) {
    CAPTURE(body);
    const Result<QueryRequest> parsed = ParseQueryRequest(body);
    REQUIRE(IsError(parsed));
    CHECK(ErrorOf(parsed).mStep == Step::Parse);
    CHECK(ErrorOf(parsed).mCode == ErrorCode::InvalidInput);
  }
}

TEST_CASE("Damaged bodies end in a request or an error")
{
  pcg32 random(7);
  int errors = 0;
  for (int round = 0; round < 20000; ++round) {
    std::string damaged = kBody;
    damaged[random(static_cast<std::uint32_t>(damaged.size()))] =
      static_cast<char>(random());
    errors += IsError(ParseQueryRequest(damaged)) ? 1 : 0;
  }
  CHECK(errors > 0);
}

} // namespace verbenachute
