#pragma once

#include <LibPlatform/Platform.h>
#include <LibTransport/EventLoop.h>
#include <LibTransport/HttpClientConnection.h>

#include <memory>
#include <vector>

namespace verbenachute {

/// Speaks to the platform over HTTP, each waiting call on a connection of
/// its own.
class PlatformClient final : public Platform
{
public:
  PlatformClient(EventLoop& aLoop, const SocketAddress& aAddress);

  void Read(const std::string& aKey, ReadDone aDone) override;
  void CompareAndSwap(const std::string& aKey,
                      const std::string& aValue,
                      KeyRevision aExpected,
                      SwapDone aDone) override;
  void Remove(const std::string& aKey,
              KeyRevision aExpected,
              SwapDone aDone) override;
  void Watch(const std::string& aKey,
             KeyRevision aAfter,
             Duration aWait,
             ReadDone aDone) override;
  void ListVms(ListDone aDone) override;

private:
  using ReplyDone = std::function<void(const Result<HttpReply>&)>;

  void Call(const HttpRequest& aRequest, Duration aTimeout, ReplyDone aDone);
  [[nodiscard]] HttpClientConnection& IdleConnection();

  EventLoop& mLoop;
  SocketAddress mAddress;
  std::vector<std::unique_ptr<HttpClientConnection>> mConnections;
};

} // namespace verbenachute
