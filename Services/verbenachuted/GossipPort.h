#pragma once

#include <LibCore/Error.h>
#include <LibGossip/GossipTable.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <memory>

struct event;

namespace verbenachute {

/// Sends and receives gossip messages as UDP datagrams.
class GossipPort
{
public:
  using ReceiveCallback = std::function<void(const GossipMessage&)>;

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
  /// Sends one message to all of its receivers and returns its size in bytes.
  /// Send errors are ignored: datagrams may be lost in any case, and gossip is
  /// repeated in later rounds.
  std::size_t Send(const GossipTable::Datagram& aDatagram) const;
  /// Number of datagrams that could not be decoded.
  [[nodiscard]] std::uint64_t Malformed() const { return mMalformed; }

private:
  GossipPort() = default;
  void ReadDatagrams();

  int mSocket = -1;
  event* mEvent = nullptr;
  ReceiveCallback mOnReceived;
  std::uint64_t mMalformed = 0;
};

} // namespace verbenachute
