#include <LibHttp/MessageReader.h>

#include <doctest/doctest.h>

namespace verbenachute {

namespace {

using State = MessageReader::State;

constexpr MessageLimits kSmallLimits{ 64, 16 };

/// The state after a message that is fed whole or byte by byte, up to its end.
State
StateAfter(MessageKind aKind, const std::string& aText, std::size_t aStep)
{
  MessageReader reader(aKind, MessageLimits());
  for (std::size_t at = 0; at < aText.size();) {
    at += reader.Feed(std::string_view(aText).substr(at, aStep));
    if (reader.Current() != State::BetweenMessages &&
        reader.Current() != State::InMessage) {
      break;
    }
  }
  reader.EndOfStream();
  return reader.Current();
}

void
CheckState(MessageKind aKind, const std::string& aText, State aExpected)
{
  CAPTURE(aText);
  for (const std::size_t step : { std::size_t(1), aText.size() }) {
    CAPTURE(step);
    CHECK(StateAfter(aKind, aText, step) == aExpected);
  }
}

} // namespace

TEST_CASE("A request is read byte by byte, and what follows stays unread")
{
  MessageReader reader(MessageKind::Requests, MessageLimits());
  const std::string text = "POST /a/b?c=1 HTTP/1.1\r\nHost: h\r\n"
                           "Content-Length: 3\r\n\r\nxyzGET / HTTP/1.1\r\n";
  std::size_t at = 0;
  while (reader.Current() != State::Complete) {
    at += reader.Feed(std::string_view(text).substr(at, 1));
  }
  CHECK(reader.Method() == "POST");
  CHECK(reader.Target() == "/a/b?c=1");
  CHECK(reader.Body() == "xyz");
  CHECK(*reader.Fields().Find("host") == "h");
  CHECK(text.substr(at, 3) == "GET");
  reader.Next();
  CHECK(reader.Current() == State::BetweenMessages);
  reader.Feed(std::string_view(text).substr(at));
  CHECK(reader.Current() == State::InMessage);
}

TEST_CASE("A chunked body is reassembled")
{
  MessageReader reader(MessageKind::Requests, MessageLimits());
  reader.Feed("POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n3\r\ncde\r\n0\r\n\r\n");
  CHECK(reader.Current() == State::Complete);
  CHECK(reader.Body() == "abcde");
}

TEST_CASE("A response without a length ends only with its connection")
{
  MessageReader reader(MessageKind::Responses, MessageLimits());
  reader.Feed("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart");
  CHECK(reader.Current() == State::InMessage);
  reader.EndOfStream();
  CHECK(reader.Current() == State::Complete);
  CHECK(reader.Body() == "part");
  CHECK(!reader.KeepsAlive());
}

TEST_CASE("A response that is shorter than its length is never complete")
{
  MessageReader reader(MessageKind::Responses, MessageLimits());
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
  reader.EndOfStream();
  CHECK(reader.Current() != State::Complete);
}

TEST_CASE("Exceeded limits and malformed bytes give different states")
{
  MessageReader oversizedHead(MessageKind::Requests, kSmallLimits);
  oversizedHead.Feed("GET / HTTP/1.1\r\nX: " + std::string(80, 'a') +
                     "\r\n\r\n");
  CHECK(oversizedHead.Current() == State::HeadersTooLarge);
  MessageReader oversizedBody(MessageKind::Requests, kSmallLimits);
  oversizedBody.Feed("POST / HTTP/1.1\r\nContent-Length: 17\r\n\r\n" +
                     std::string(17, 'b'));
  CHECK(oversizedBody.Current() == State::BodyTooLarge);
  // A stated length is refused before any of the body is there.
  MessageReader statedLength(MessageKind::Responses, kSmallLimits);
  statedLength.Feed("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n");
  CHECK(statedLength.Current() == State::BodyTooLarge);
  MessageReader garbage(MessageKind::Responses, MessageLimits());
  garbage.Feed("\x01\x02garbage\r\n");
  CHECK(garbage.Current() == State::Malformed);
}

TEST_CASE("A response to HEAD has no body, whatever its Content-Length")
{
  MessageReader reader(MessageKind::Responses, MessageLimits());
  reader.ExpectNoBody();
  reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n");
  CHECK(reader.Current() == State::Complete);
}

// Guards against a response without a valid status that is forwarded to a
// caller, or skipped as if it were informational.
TEST_CASE("A response whose status is not three digits from 100 to 599 fails")
{
  for (const char* status : { "000",
                              "0",
                              "099",
                              "600",
                              "999",
                              "20",
                              "2000",
                              "0200",
                              "-20",
                              "+20",
                              "   ",
                              " 200",
                              "" }) {
    CAPTURE(status);
    MessageReader reader(MessageKind::Responses, MessageLimits());
    reader.Feed(std::string("HTTP/1.1 ") + status +
                " OK\r\nContent-Length: 0\r\n\r\n");
    CHECK(reader.Current() == State::Malformed);
  }
}

TEST_CASE("A status is read byte by byte, after an informational one too")
{
  MessageReader reader(MessageKind::Responses, MessageLimits());
  const std::string text = "HTTP/1.1 100 Continue\r\n\r\n"
                           "HTTP/1.1 599\r\nContent-Length: 0\r\n\r\n";
  std::size_t at = 0;
  for (const int expected : { 100, 599 }) {
    while (reader.Current() != State::Complete && at < text.size()) {
      at += reader.Feed(std::string_view(text).substr(at, 1));
    }
    REQUIRE(reader.Current() == State::Complete);
    CHECK(reader.Status() == expected);
    reader.Next();
  }
}

// Guards against a second response that is taken for the body of the first.
TEST_CASE("A status that allows no body ends with its head")
{
  for (const char* status : { "204", "304" }) {
    for (const char* field :
         { "Content-Length: 19", "Transfer-Encoding: chunked" }) {
      CAPTURE(status);
      MessageReader reader(MessageKind::Responses, MessageLimits());
      const std::string head =
        std::string("HTTP/1.1 ") + status + " x\r\n" + field + "\r\n\r\n";
      CHECK(reader.Feed(head + "HTTP/1.1 200 OK\r\n\r\n") == head.size());
      CHECK(reader.Current() == State::Complete);
      CHECK(reader.Body().empty());
    }
  }
}

// Guards against a body that is cut short, or is not the target's, as the line
// that told its length was damaged and ignored.
TEST_CASE("A line of the head that is no field makes a message malformed")
{
  for (const std::string line : { "Content Length: 0",
                                  "Content-Length : 0",
                                  "Content-Length\t: 0",
                                  " Content-Length: 0",
                                  "\tX: y",
                                  "Content-Length",
                                  "Content-Length 0",
                                  ": 0",
                                  "X\x01: y",
                                  "X\x7f: y",
                                  "X\xe4: y",
                                  "(X): y",
                                  "X: y\n Content-Length: 0",
                                  "X: y\r\n Content-Length: 0",
                                  "X: y\r\n\tz",
                                  "X: y\nZ: y" }) {
    CheckState(MessageKind::Responses,
               "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n" + line + "\r\n\r\n",
               State::Malformed);
    CheckState(MessageKind::Requests,
               "GET / HTTP/1.1\r\nHost: h\r\n" + line + "\r\n\r\n",
               State::Malformed);
  }
  CheckState(MessageKind::Responses,
             "HTTP/1.1 200 OK\r\nX:\r\n!#$%&'*+-.^_`|~aZ09:\t y \r\n"
             "Content-Length: 0\r\n\r\n",
             State::Complete);
}

// A server that keeps its connection open cannot end a body by closing it.
TEST_CASE("A response tells its length or announces the close that ends it")
{
  const std::string start = "HTTP/1.1 200 OK\r\nX: y\r\n";
  for (const char* fields : { "",
                              "Content-Lengtx: 4\r\n",
                              "Content-Length:\r\n",
                              "Content-Length: \r\nConnection: close\r\n",
                              "Connection: keep-alive\r\n",
                              "Transfer-Encoding: chunkex\r\n",
                              "Transfer-Encoding:\r\nConnection: close\r\n",
                              "Transfer-Encoding: gzip\r\n"
                              "Connection: close\r\n" }) {
    CheckState(
      MessageKind::Responses, start + fields + "\r\nbody", State::Malformed);
  }
  for (const char* fields : { "Content-Length: 4\r\n",
                              "Connection: close\r\n",
                              "Connection: x, Close\r\n" }) {
    CheckState(
      MessageKind::Responses, start + fields + "\r\nbody", State::Complete);
  }
  CheckState(MessageKind::Responses,
             "HTTP/1.0 200 OK\r\nX: y\r\n\r\nbody",
             State::Complete);
}

// Guards against bodies that lack or repeat bytes, as the parser skips what
// stands around chunks.
TEST_CASE("A line around chunks that is not of the protocol is malformed")
{
  const std::string head =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
  for (const char* body : { "4 \r\nbody\r\n0\r\n\r\n",
                            " 4\r\nbody\r\n0\r\n\r\n",
                            "2 4\r\nbody\r\n0\r\n\r\n",
                            "4\nbody\r\n0\r\n\r\n",
                            "4\rxbody\r\n0\r\n\r\n",
                            "4\r\nbodyxx0\r\n\r\n",
                            "4\r\nbody\rx0\r\n\r\n",
                            "2\r\nbody\r\n0\r\n\r\n",
                            "0x4\r\nbody\r\n0\r\n\r\n",
                            "ffffffffffffffffffff\r\nbody\r\n0\r\n\r\n",
                            "4\r\nbody\r\n0\r\nX y: z\r\n\r\n",
                            "4\r\nbody\r\n0\r\nno field\r\n\r\n" }) {
    CheckState(MessageKind::Responses, head + body, State::Malformed);
  }
  for (const char* body : { "4\r\nbody\r\n0\r\n\r\n",
                            "04;a=b\r\nbody\r\n000;c\r\n\r\n",
                            "2\r\nbo\r\n2\r\ndy\r\n0\r\nX: z\r\n\r\n" }) {
    CheckState(MessageKind::Responses, head + body, State::Complete);
  }
}

// Guards against fields after the body that pass for fields of the head.
TEST_CASE("Fields after a chunked body are dropped")
{
  MessageReader reader(MessageKind::Responses, MessageLimits());
  reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
              "4\r\nbody\r\n0\r\nServer-Stamp: s\r\n\r\n");
  REQUIRE(reader.Current() == State::Complete);
  CHECK(reader.Body() == "body");
  CHECK(reader.Fields().Find("Server-Stamp") == nullptr);
}

// Guards against heads of legal size whose many short fields take far more
// memory than was counted.
TEST_CASE("The memory of a head counts each field")
{
  constexpr std::size_t kFields = 4000;
  MessageReader reader(MessageKind::Requests, MessageLimits());
  reader.Feed("GET / HTTP/1.1\r\n");
  for (std::size_t i = 0; i < kFields; ++i) {
    reader.Feed("a:\r\n");
  }
  CHECK(reader.Current() == State::InMessage);
  CHECK(reader.MessageMemory() >= kFields * sizeof(HttpField));
  reader.DropMessage();
  CHECK(reader.MessageMemory() < sizeof(HttpField));
}

} // namespace verbenachute
