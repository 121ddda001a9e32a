#include "GossipPort.h"

#include <LibCore/SocketAddressText.h>
#include <LibGossip/GossipCodec.h>
#include <LibTransport/SocketOptions.h>

#include <arpa/inet.h>
#include <array>
#include <event2/event.h>
#include <sys/socket.h>
#include <unistd.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::size_t kMaximumDatagramBytes = 4096;
// Datagrams that are read per event, so that a flood does not block the event
// loop.
constexpr int kMaximumBatchDatagrams = 64;

} // namespace

Result<std::unique_ptr<GossipPort>>
GossipPort::Create(EventLoop& aLoop, const SocketAddress& aAddress)
{
  std::unique_ptr<GossipPort> port(new GossipPort());
  port->mSocket = socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  const sockaddr_in address = SocketAddressOf(aAddress);
  if (port->mSocket < 0 || bind(port->mSocket,
                                reinterpret_cast<const sockaddr*>(&address),
                                sizeof(address)) != 0) {
    return Error{ Step::Settings,
                  ErrorCode::Unavailable,
                  SocketAddressText(aAddress),
                  "the address cannot be bound for datagrams" };
  }
  port->mEvent = event_new(
    aLoop.Base(),
    port->mSocket,
    EV_READ | EV_PERSIST,
    [](evutil_socket_t, short, void* aSelf) {
      static_cast<GossipPort*>(aSelf)->ReadDatagrams();
    },
    port.get());
  event_add(port->mEvent, nullptr);
  return port;
}

GossipPort::~GossipPort()
{
  if (mEvent != nullptr) {
    event_free(mEvent);
  }
  if (mSocket >= 0) {
    close(mSocket);
  }
}

std::size_t
GossipPort::Send(const GossipTable::Datagram& aDatagram) const
{
  const std::string bytes = EncodeGossip(aDatagram.mMessage);
  SendBytes(bytes, aDatagram.mReceivers);
  return bytes.size();
}

std::size_t
GossipPort::Send(PeerDatagramKind aKind,
                 std::string_view aPayload,
                 const std::vector<SocketAddress>& aReceivers) const
{
  const std::string bytes = EncodePeerDatagram(aKind, aPayload);
  SendBytes(bytes, aReceivers);
  return bytes.size();
}

void
GossipPort::SendBytes(std::string_view aBytes,
                      const std::vector<SocketAddress>& aReceivers) const
{
  for (const SocketAddress& receiver : aReceivers) {
    const sockaddr_in address = SocketAddressOf(receiver);
    static_cast<void>(sendto(mSocket,
                             aBytes.data(),
                             aBytes.size(),
                             0,
                             reinterpret_cast<const sockaddr*>(&address),
                             sizeof(address)));
  }
}

void
GossipPort::ReadDatagrams()
{
  std::array<char, kMaximumDatagramBytes> bytes{};
  for (int i = 0; i < kMaximumBatchDatagrams; ++i) {
    sockaddr_in sender{};
    socklen_t senderSize = sizeof(sender);
    const ssize_t size = recvfrom(mSocket,
                                  bytes.data(),
                                  bytes.size(),
                                  0,
                                  reinterpret_cast<sockaddr*>(&sender),
                                  &senderSize);
    if (size < 0) {
      return;
    }
    std::array<char, INET_ADDRSTRLEN> host{};
    inet_ntop(AF_INET, &sender.sin_addr, host.data(), host.size());
    OnDatagram(SocketAddress{ host.data(), ntohs(sender.sin_port) },
               std::string_view(bytes.data(), static_cast<std::size_t>(size)));
  }
}

void
GossipPort::OnDatagram(const SocketAddress& aSender, std::string_view aBytes)
{
  const std::optional<PeerDatagram> datagram = DecodePeerDatagram(aBytes);
  if (datagram.has_value()) {
    const auto receiver = mDatagramReceivers.find(datagram->mKind);
    if (receiver != mDatagramReceivers.end()) {
      receiver->second(aSender, datagram->mPayload);
    }
    return;
  }
  const Result<GossipMessage> message = DecodeGossip(aBytes);
  if (IsError(message)) {
    ++mMalformed;
    return;
  }
  if (mOnReceived) {
    mOnReceived(ValueOf(message));
  }
}

} // namespace verbenachute
