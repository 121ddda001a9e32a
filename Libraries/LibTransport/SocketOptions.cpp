#include <LibTransport/SocketOptions.h>

#include <arpa/inet.h>
#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace verbenachute {

namespace {

constexpr int kMaximumUnansweredProbes = 3;

void
SetOption(int aSocket, int aLevel, int aName, int aValue)
{
  // If the kernel lacks an option, the connection works without it, and the
  // timeouts of the exchanges still bound the wait.
  static_cast<void>(
    setsockopt(aSocket, aLevel, aName, &aValue, sizeof(aValue)));
}

} // namespace

void
TuneSocket(int aSocket, const PeerTimeouts& aTimeouts)
{
  const int probeInterval = static_cast<int>(aTimeouts.mProbeInterval.count());
  SetOption(aSocket, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(aSocket,
            IPPROTO_TCP,
            TCP_USER_TIMEOUT,
            static_cast<int>(aTimeouts.mUnacknowledgedTimeout.count()));
  SetOption(aSocket, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPIDLE, probeInterval);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPINTVL, probeInterval);
  SetOption(aSocket, IPPROTO_TCP, TCP_KEEPCNT, kMaximumUnansweredProbes);
}

void
ResetOnClose(int aSocket)
{
  const linger now{ 1, 0 };
  static_cast<void>(
    setsockopt(aSocket, SOL_SOCKET, SO_LINGER, &now, sizeof(now)));
}

sockaddr_in
SocketAddressOf(const SocketAddress& aAddress)
{
  sockaddr_in raw{};
  raw.sin_family = AF_INET;
  raw.sin_port = htons(aAddress.mPort);
  static_cast<void>(inet_pton(AF_INET, aAddress.mHost.c_str(), &raw.sin_addr));
  return raw;
}

int
SocketOf(bufferevent* aStream)
{
  return static_cast<int>(bufferevent_getfd(aStream));
}

void
DiscardBuffers(bufferevent* aStream)
{
  bufferevent_disable(aStream, EV_READ | EV_WRITE);
  for (evbuffer* buffer :
       { bufferevent_get_input(aStream), bufferevent_get_output(aStream) }) {
    evbuffer_drain(buffer, evbuffer_get_length(buffer));
  }
}

} // namespace verbenachute
