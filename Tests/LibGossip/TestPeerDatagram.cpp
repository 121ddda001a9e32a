#include <LibGossip/PeerDatagram.h>

#include <LibGossip/GossipCodec.h>

#include <doctest/doctest.h>

namespace verbenachute {

TEST_CASE("A datagram keeps its kind and its payload")
{
  const std::string bytes =
    EncodePeerDatagram(PeerDatagramKind::LoadReport, "payload");
  const std::optional<PeerDatagram> decoded = DecodePeerDatagram(bytes);
  REQUIRE(decoded.has_value());
  CHECK(decoded->mKind == PeerDatagramKind::LoadReport);
  CHECK(decoded->mPayload == "payload");
}

// Guards against datagrams that one decoder takes for those of the other.
TEST_CASE("Gossip messages and other datagrams are told apart")
{
  CHECK(IsError(
    DecodeGossip(EncodePeerDatagram(PeerDatagramKind::Quota, "payload"))));
  CHECK(!DecodePeerDatagram(EncodeGossip(GossipMessage())).has_value());
  CHECK(!DecodePeerDatagram("").has_value());
}

} // namespace verbenachute
