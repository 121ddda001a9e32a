#pragma once

#include <LibForward/ForwardAction.h>
#include <LibHttp/HttpClientStream.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// The kept connections to targets. It carries out what the engine decides.
class TargetPool
{
public:
  using ReplyArrived = std::function<void(AttemptId, PartReply)>;
  using AttemptFailed = std::function<void(AttemptId, AttemptFailure)>;

  TargetPool(EventLoop& aLoop,
             ReplyArrived aReplyArrived,
             AttemptFailed aAttemptFailed);

  /// Sends on a free connection, or on a new one if there are fewer than the
  /// action allows. The result comes through the callbacks, never from within
  /// this call.
  void Send(const SendAction& aAction);
  /// Closes the connection on which the attempt runs.
  void Cancel(AttemptId aAttempt);
  /// Closes idle connections that are not worth keeping.
  void CloseIdle();

  [[nodiscard]] std::size_t ConnectionCount() const;

private:
  struct Connection
  {
    std::unique_ptr<HttpClientStream> mStream;
    std::optional<AttemptId> mAttempt;
  };
  using Connections = std::vector<std::shared_ptr<Connection>>;

  [[nodiscard]] std::shared_ptr<Connection> TakeConnection(
    const SendAction& aAction);
  void OnDone(const std::shared_ptr<Connection>& aConnection,
              const SocketAddress& aAddress,
              AttemptId aAttempt,
              StreamOutcome aOutcome);
  void Drop(const SocketAddress& aAddress,
            const std::shared_ptr<Connection>& aConnection);

  EventLoop& mLoop;
  ReplyArrived mReplyArrived;
  AttemptFailed mAttemptFailed;
  std::map<SocketAddress, Connections> mConnections;
  std::unordered_map<AttemptId,
                     std::pair<SocketAddress, std::shared_ptr<Connection>>>
    mAttempts;
};

} // namespace verbenachute
