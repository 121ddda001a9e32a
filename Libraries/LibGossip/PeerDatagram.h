#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace verbenachute {

/// Kind of a datagram between nodes, beside gossip messages, which have none.
/// Each kind has a codec of its own. A node ignores kinds that it does not
/// know.
enum class PeerDatagramKind : std::uint8_t
{
  /// Requests for tokens of a tenant's quota, and the answers to them.
  Quota = 1,
  /// Answers that nodes have counted during a roll-out.
  RolloutCounts = 2,
  /// Load of the targets of a failure domain.
  LoadReport = 3,
  /// Targets that are clearly slower than usual.
  TargetSpeeds = 4,
};

struct PeerDatagram
{
  PeerDatagramKind mKind = PeerDatagramKind::Quota;
  std::string_view mPayload;
};

[[nodiscard]] std::string
EncodePeerDatagram(PeerDatagramKind aKind, std::string_view aPayload);

/// Empty if the bytes have no kind, as those of gossip messages. The payload
/// refers to aBytes.
[[nodiscard]] std::optional<PeerDatagram>
DecodePeerDatagram(std::string_view aBytes);

} // namespace verbenachute
