#include <platform/StoreWire.h>

#include <doctest/doctest.h>

namespace verbenachute::platform {

namespace {

StreamOutcome
Response(int aStatus, const std::string& aBody)
{
  HttpResponse response;
  response.mStatus = aStatus;
  response.mBody = aBody;
  return response;
}

} // namespace

TEST_CASE("Pages are read from the latest state, never with a stale read")
{
  // After the store had lost history, a stale page was older than this node's
  // copy, and the node never caught up.
  const std::string call = ReadPageCall("h:1", ReadPageAction{ "a b" });
  CHECK(call.starts_with("GET /kv-range?PathPrefix=&after=a%20b HTTP/1.1"));
  CHECK(call.find("Serializable") == std::string::npos);
}

TEST_CASE("A watch request carries the revision and its wait in milliseconds")
{
  CHECK(WatchCall("h:1", WatchAction{ StoreRevision(411), seconds(20) })
          .starts_with(
            "GET /kv-watch?PathPrefix=&after=411&WaitMs=20000 HTTP/1.1"));
}

TEST_CASE("Pages and changes are decoded, invalid entries are skipped")
{
  const StoreResult<StorePage> page = ReadPageResult(
    Response(200,
             R"({"items":[{"Key":"a","Value":"bm9kZS0x","Revision":412,)"
             R"("CreatedRev":1,"Lease":0},{"Key":"b"},{"Key":"c","Value":"?",)"
             R"("Revision":1}],"MorePages":true,"AtRev":530})"));
  REQUIRE(std::holds_alternative<StorePage>(page));
  CHECK(std::get<StorePage>(page).mItems ==
        std::vector{ StoreItem{ "a", "node-1", StoreRevision(412) } });
  CHECK(std::get<StorePage>(page).mHasMore);
  const StoreResult<StoreChanges> changes = WatchResult(
    Response(200,
             R"({"events":[{"Key":"a","Value":"","Revision":2},)"
             R"({"Key":"b","Revision":3,"Removed":true}],"AtRev":3})"));
  REQUIRE(std::holds_alternative<StoreChanges>(changes));
  CHECK(std::get<StoreChanges>(changes).mChanges.size() == 2);
  CHECK(!std::get<StoreChanges>(changes).mChanges[1].mValue.has_value());
}

TEST_CASE("Failures are classified")
{
  const std::pair<int, StoreFailure> cases[] = {
    { 410, StoreFailure::HistoryCompacted },
    { 429, StoreFailure::Refused },
    { 503, StoreFailure::Refused },
  };
  for (const auto& entry : cases) {
    CHECK(std::get<StoreFailure>(WatchResult(Response(entry.first, "{}"))) ==
          entry.second);
  }
  CHECK(std::get<StoreFailure>(WatchResult(StreamFailure::TimedOut)) ==
        StoreFailure::Unreachable);
  CHECK(
    std::get<StoreFailure>(WatchResult(StreamFailure::ClosedBeforeResponse)) ==
    StoreFailure::ConnectionClosed);
  CHECK(std::get<StoreFailure>(WatchResult(
          StreamFailure::ClosedDuringResponse)) == StoreFailure::Unreachable);
  CHECK(std::get<StoreFailure>(WatchResult(StreamFailure::NotConnected)) ==
        StoreFailure::Unreachable);
  CHECK(std::get<StoreFailure>(WatchResult(StreamFailure::TooLarge)) ==
        StoreFailure::ResponseTooLarge);
  for (const char* body : { "[]", "{}", R"({"AtRev":3})", "no JSON" }) {
    CAPTURE(body);
    CHECK(std::get<StoreFailure>(WatchResult(Response(200, body))) ==
          StoreFailure::ResponseInvalid);
  }
}

TEST_CASE("One key is read, and a missing key is not a failure")
{
  CHECK(ReadKeyCall("h:1", "verbenachute/a b")
          .starts_with("GET /kv-key?Key=verbenachute/a%20b HTTP/1.1"));
  using Item = std::optional<StoreItem>;
  const StoreResult<Item> read = ReadKeyResult(Response(
    200, R"({"Key":"a","Value":"bm9kZS0x","Revision":412,"AtRev":413})"));
  REQUIRE(std::holds_alternative<Item>(read));
  CHECK(std::get<Item>(read) == StoreItem{ "a", "node-1", StoreRevision(412) });
  CHECK(!std::get<Item>(ReadKeyResult(Response(404, "{}"))).has_value());
  CHECK(std::get<StoreFailure>(ReadKeyResult(Response(503, "{}"))) ==
        StoreFailure::Refused);
  CHECK(std::get<StoreFailure>(ReadKeyResult(Response(200, "{}"))) ==
        StoreFailure::ResponseInvalid);
}

TEST_CASE("A probe is a read, stale or not, that returns the store's revision")
{
  CHECK(ProbeCall("h:1", "k", { ReadConsistency::MayBeStale })
          .starts_with("GET /kv-key?Key=k&Serializable=1 HTTP/1.1"));
  CHECK(ProbeCall("h:1", "k", { ReadConsistency::Latest })
          .starts_with("GET /kv-key?Key=k HTTP/1.1"));
  const StoreResult<StoreRevision> read = ProbeResult(
    Response(200, R"({"Key":"k","Value":"","Revision":4,"AtRev":413})"));
  CHECK(std::get<StoreRevision>(read) == StoreRevision(413));
  CHECK(std::get<StoreRevision>(ProbeResult(Response(404, "{}"))) ==
        StoreRevision());
  CHECK(std::get<StoreFailure>(ProbeResult(Response(503, "{}"))) ==
        StoreFailure::Refused);
  CHECK(std::get<StoreFailure>(ProbeResult(StreamFailure::TimedOut)) ==
        StoreFailure::Unreachable);
}

TEST_CASE("A removal carries the key and its expected revision")
{
  const std::string call = RemoveKeyCall("h:1", "k", StoreRevision(9));
  CHECK(call.starts_with("POST /kv-txn HTTP/1.1"));
  CHECK(call.find(R"("Deletes":["k"])") != std::string::npos);
  CHECK(call.find(R"("Precondition":[{"Key":"k","Revision":9}])") !=
        std::string::npos);
  CHECK(call.find(R"("Writes":[])") != std::string::npos);
}

TEST_CASE("The era is read from every response, and 0 if it is absent")
{
  const auto withEra = [](int aStatus, const char* aText) {
    HttpResponse response;
    response.mStatus = aStatus;
    response.mFields.Add("store-era", aText);
    return StreamOutcome(response);
  };
  CHECK(ValueOf(EraOf(withEra(200, "3"))) == StoreEra(3));
  CHECK(ValueOf(EraOf(withEra(410, "4"))) == StoreEra(4));
  CHECK(ValueOf(EraOf(Response(200, "{}"))) == StoreEra());
  CHECK(!ValueOf(EraOf(StreamFailure::TimedOut)).has_value());
  for (const char* text : { "", "x", "-1", "1 ", "99999999999999999999" }) {
    CAPTURE(text);
    CHECK(IsError(EraOf(withEra(200, text))));
  }
}

} // namespace verbenachute::platform
