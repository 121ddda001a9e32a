#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <vector>

namespace verbenachute {

/// Which addresses a caller uses, in this order, until the answer runs out.
/// The caller counts both times from the moment at which it asked.
struct AddressAnswer
{
  std::vector<SocketAddress> mAddresses;
  Duration mValidFor{ 0 };
  /// Goes with each non-idempotent request; issued by the node of the first
  /// address.
  NodeIdentity mTicket;
  Duration mTicketValidFor{ 0 };
};

} // namespace verbenachute
