#include <LibGossip/PeerDatagram.h>

namespace verbenachute {

namespace {

// No MessagePack value begins with this byte, so nodes of earlier releases
// discard these datagrams as malformed gossip.
constexpr char kMark = '\xc1';
constexpr std::size_t kHeaderBytes = 2;

} // namespace

std::string
EncodePeerDatagram(PeerDatagramKind aKind, std::string_view aPayload)
{
  std::string bytes;
  bytes.reserve(kHeaderBytes + aPayload.size());
  bytes += kMark;
  bytes += static_cast<char>(aKind);
  bytes += aPayload;
  return bytes;
}

std::optional<PeerDatagram>
DecodePeerDatagram(std::string_view aBytes)
{
  if (aBytes.size() < kHeaderBytes || aBytes.front() != kMark) {
    return std::nullopt;
  }
  return PeerDatagram{ static_cast<PeerDatagramKind>(aBytes[1]),
                       aBytes.substr(kHeaderBytes) };
}

} // namespace verbenachute
