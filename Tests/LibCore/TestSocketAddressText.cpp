#include <LibCore/SocketAddressText.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("An address is parsed and formatted")
{
  const Result<SocketAddress> address = ParseSocketAddress("127.0.0.1:7001");
  REQUIRE(!IsError(address));
  CHECK(ValueOf(address).mPort == 7001);
  CHECK(SocketAddressText(ValueOf(address)) == "127.0.0.1:7001");
}

TEST_CASE("Text that is not an address is rejected")
{
  for (const char* text : { "",
                            "127.0.0.1",
                            "127.0.0.1:",
                            "127.0.0.1:0",
                            "127.0.0.1:65536",
                            "localhost:80",
                            "127.0.0.1:80x",
                            ":80",
                            "1.2.3:4" }) {
    CAPTURE(text);
    CHECK(IsError(ParseSocketAddress(text)));
  }
}

TEST_CASE("A node identity is parsed and formatted")
{
  const Result<NodeIdentity> identity = ParseNodeIdentity("node-1@77");
  REQUIRE(!IsError(identity));
  CHECK(ValueOf(identity).mIncarnation == Incarnation(77));
  CHECK(NodeIdentityText(ValueOf(identity)) == "node-1@77");
  CHECK(IsError(ParseNodeIdentity("node-1")));
  CHECK(IsError(ParseNodeIdentity("@1")));
  CHECK(IsError(ParseNodeIdentity("node-1@-1")));
}

} // namespace verbenachute
