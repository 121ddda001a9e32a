#include <LibHttp/HttpText.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("Hop-by-hop fields and those that Connection lists are removed")
{
  HttpFields fields;
  fields.Add("Connection", "close, X-Hop");
  fields.Add("x-hop", "1");
  fields.Add("Keep-Alive", "timeout=5");
  fields.Add("Transfer-Encoding", "chunked");
  fields.Add("Content-Length", "5");
  fields.Add("X-End", "2");
  fields.RemoveHopByHop();
  REQUIRE(fields.All().size() == 1);
  CHECK(fields.All().front() == HttpField{ "X-End", "2" });
}

TEST_CASE("Requests and responses contain their framing fields")
{
  HttpFields fields;
  fields.Add("Host", "h");
  CHECK(SerializeRequest("GET", "/a", fields, "") ==
        "GET /a HTTP/1.1\r\nHost: h\r\n\r\n");
  CHECK(SerializeRequest("POST", "/a", HttpFields(), "") ==
        "POST /a HTTP/1.1\r\nContent-Length: 0\r\n\r\n");
  CHECK(SerializeResponse(503, HttpFields(), "x", AfterResponse::Close) ==
        "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 1\r\n"
        "Connection: close\r\n\r\nx");
}

TEST_CASE("Query parameters are found and decoded")
{
  CHECK(QueryParameter("/r?Name=a%2eb&Zone=c+d", "Name") == "a.b");
  CHECK(QueryParameter("/r?Name=a&Zone=c+d", "Zone") == "c d");
  CHECK(QueryParameter("/r?Name", "Name").empty());
  CHECK(QueryParameter("/r", "Name").empty());
  CHECK(PercentEncode("a b/&") == "a%20b/%26");
}

// Guards against bytes that the caller takes for the next response.
TEST_CASE("A response whose status allows no body is sent without one")
{
  const std::string text =
    SerializeResponse(204, HttpFields(), "body", AfterResponse::KeepOpen);
  CHECK(text.ends_with("\r\n\r\n"));
}

} // namespace verbenachute
