#pragma once

#include <LibCore/Error.h>
#include <LibGossip/GossipTable.h>
#include <LibGossip/PeerDatagram.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <map>
#include <memory>
#include <string_view>
#include <vector>

struct event;

namespace verbenachute {

/// Sends and receives gossip messages and other datagrams between nodes over
/// UDP.
class GossipPort
{
public:
  using ReceiveCallback = std::function<void(const GossipMessage&)>;
  /// Gets the address of the sender and the payload.
  using DatagramCallback =
    std::function<void(const SocketAddress&, std::string_view)>;

  /// Fails with step Settings if the address cannot be bound.
  [[nodiscard]] static Result<std::unique_ptr<GossipPort>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress);
  ~GossipPort();
  GossipPort(const GossipPort&) = delete;
  GossipPort& operator=(const GossipPort&) = delete;

  void SetReceiver(ReceiveCallback aOnReceived)
  {
    mOnReceived = std::move(aOnReceived);
  }
  /// Sets what receives the datagrams of a kind; without a receiver they are
  /// ignored.
  void SetReceiver(PeerDatagramKind aKind, DatagramCallback aOnReceived)
  {
    mDatagramReceivers[aKind] = std::move(aOnReceived);
  }
  /// Sends a datagram to each of the receivers and returns its size in bytes.
  /// Send errors are ignored, as datagrams may be lost in any case.
  std::size_t Send(PeerDatagramKind aKind,
                   std::string_view aPayload,
                   const std::vector<SocketAddress>& aReceivers) const;
  /// Sends one message to all of its receivers and returns its size in bytes.
  /// Send errors are ignored: datagrams may be lost in any case, and gossip is
  /// repeated in later rounds.
  std::size_t Send(const GossipTable::Datagram& aDatagram) const;
  /// Number of datagrams that could not be decoded.
  [[nodiscard]] std::uint64_t Malformed() const { return mMalformed; }

private:
  GossipPort() = default;
  void ReadDatagrams();
  void OnDatagram(const SocketAddress& aSender, std::string_view aBytes);
  void SendBytes(std::string_view aBytes,
                 const std::vector<SocketAddress>& aReceivers) const;

  int mSocket = -1;
  event* mEvent = nullptr;
  ReceiveCallback mOnReceived;
  std::map<PeerDatagramKind, DatagramCallback> mDatagramReceivers;
  std::uint64_t mMalformed = 0;
};

} // namespace verbenachute
