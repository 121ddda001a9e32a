#pragma once

#include <LibCore/Error.h>
#include <LibGossip/GossipTable.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <memory>

struct event;

namespace verbenachute {

/// Sends and receives gossip as datagrams.
class GossipPort
{
public:
  using Received = std::function<void(const GossipMessage&)>;

  /// Fails with step Settings when the address can not be bound.
  [[nodiscard]] static Result<std::unique_ptr<GossipPort>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress);
  ~GossipPort();
  GossipPort(const GossipPort&) = delete;
  GossipPort& operator=(const GossipPort&) = delete;

  void SetReceiver(Received aReceived) { mReceived = std::move(aReceived); }
  /// Datagrams may be lost; gossip repeats itself.
  void Send(const std::vector<GossipTable::Datagram>& aDatagrams) const;
  /// Datagrams that could not be read.
  [[nodiscard]] std::uint64_t Malformed() const { return mMalformed; }

private:
  GossipPort() = default;
  void ReadAll();

  int mSocket = -1;
  event* mEvent = nullptr;
  Received mReceived;
  std::uint64_t mMalformed = 0;
};

} // namespace verbenachute
