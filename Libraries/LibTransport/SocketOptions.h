#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <netinet/in.h>

struct bufferevent;

namespace verbenachute {

/// How soon a connection whose peer has fallen silent breaks.
struct SilenceLimits
{
  /// Longest time that sent bytes may stay without an acknowledgement.
  milliseconds mUnacknowledged{ 2000 };
  /// Time without traffic after which the peer is probed, and the pause
  /// between two probes. Three unanswered probes break the connection.
  seconds mProbe{ 1 };
};

/// Sends small writes at once and bounds the peer's silence.
void
TuneSocket(int aSocket, const SilenceLimits& aLimits);

/// Lets the close of a connection reset it: bytes that have not reached the
/// other side yet never will.
void
ResetOnClose(int aSocket);

/// The address in the form of the socket interface; the host is an IPv4
/// number, as ParseSocketAddress has checked.
[[nodiscard]] sockaddr_in
SocketAddressOf(const SocketAddress& aAddress);

/// The socket of a stream, or -1.
[[nodiscard]] int
SocketOf(bufferevent* aStream);

} // namespace verbenachute
