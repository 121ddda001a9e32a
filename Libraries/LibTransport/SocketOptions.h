#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/Time.h>

#include <netinet/in.h>

struct bufferevent;

namespace verbenachute {

/// How soon a connection to an unresponsive peer breaks.
struct PeerTimeouts
{
  /// Longest time that sent bytes may stay unacknowledged (TCP_USER_TIMEOUT).
  milliseconds mUnacknowledgedTimeout{ 2000 };
  /// Time without traffic after which the peer is probed, and the interval of
  /// the probes (TCP keep-alive). Three unanswered probes break the connection.
  seconds mProbeInterval{ 1 };
};

/// Disables Nagle's algorithm, so that small writes are sent at once, and sets
/// the time limits for an unresponsive peer.
void
TuneSocket(int aSocket, const PeerTimeouts& aTimeouts);

/// Makes closing the socket reset its connection, which discards the bytes that
/// were not yet sent.
void
ResetOnClose(int aSocket);

/// Converts an address for the socket interface. Its host must be an IPv4
/// address in dotted decimal form, as ParseSocketAddress ensures.
[[nodiscard]] sockaddr_in
SocketAddressOf(const SocketAddress& aAddress);

/// The socket of a stream, or -1 if it has none.
[[nodiscard]] int
SocketOf(bufferevent* aStream);

/// Stops reading and writing, and frees what is buffered in both directions.
/// The stream is of no use afterwards.
void
DiscardBuffers(bufferevent* aStream);

} // namespace verbenachute
