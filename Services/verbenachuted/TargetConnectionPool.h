#pragma once

#include <LibForward/ForwardAction.h>
#include <LibHttp/HttpClientStream.h>
#include <LibObservation/Logger.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibTransport/EventLoop.h>

#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

namespace verbenachute {

/// A pool of persistent connections to targets. It executes the actions that
/// the forwarding engine decides on.
class TargetConnectionPool
{
public:
  using ReplyArrived = std::function<void(AttemptId, PartReply)>;
  using AttemptFailed = std::function<void(AttemptId, AttemptFailure)>;

  /// What the connections may take of the process.
  struct Resources
  {
    /// The account of the responses.
    MemoryBudget& mMemory;
    /// Bytes of all responses that are being received.
    std::size_t mMaximumReceivedBytes = 0;
    std::size_t mMaximumConnections = 0;
  };

  /// Bytes of attempts that cross failure domains are added to aMetrics.
  TargetConnectionPool(EventLoop& aLoop,
                       Logger& aLogger,
                       MetricsRegistry& aMetrics,
                       const Resources& aResources,
                       ReplyArrived aReplyArrived,
                       AttemptFailed aAttemptFailed);

  /// Sends on an idle connection, or on a new one if there are fewer than the
  /// action and the resources allow; otherwise the attempt fails as NotSent. A
  /// connection that is idle at another target makes room. The result is
  /// reported by one of the callbacks, never from within this call.
  void Send(const SendAction& aAction);
  /// Closes the connection of the attempt, whose result is then not reported.
  /// Does nothing if the attempt has no connection.
  void Cancel(AttemptId aAttempt);
  /// Whether bytes of the attempt may have left this node. If not, none will
  /// after a Cancel.
  [[nodiscard]] bool MayHaveLeft(AttemptId aAttempt) const;
  /// Closes the idle connections that SurplusConnections selects, and broken
  /// ones.
  void CloseIdle();

private:
  struct Connection
  {
    std::unique_ptr<HttpClientStream> mStream;
    std::optional<AttemptId> mAttempt;
    /// Cause of the bytes of the running attempt; empty if it stays within the
    /// failure domain.
    std::optional<TrafficCause> mTrafficCause;
  };
  using Connections = std::vector<std::shared_ptr<Connection>>;

  [[nodiscard]] std::shared_ptr<Connection> AcquireConnection(
    const SendAction& aAction);
  void OnDone(const std::shared_ptr<Connection>& aConnection,
              const SocketAddress& aAddress,
              AttemptId aAttempt,
              StreamOutcome aOutcome);
  /// Closes the connection that has been idle longest if there are as many as
  /// the resources allow. Returns whether there is room for another one.
  [[nodiscard]] bool MakeRoom();
  void CountTraffic(Connection& aConnection);
  void Drop(const SocketAddress& aAddress,
            const std::shared_ptr<Connection>& aConnection);

  EventLoop& mLoop;
  Logger& mLogger;
  MetricsRegistry& mMetrics;
  Resources mResources;
  ReceiveBudget mReceiveBudget;
  ReplyArrived mReplyArrived;
  AttemptFailed mAttemptFailed;
  std::map<SocketAddress, Connections> mConnections;
  /// Busy and idle connections to all targets.
  std::size_t mConnectionCount = 0;
  std::unordered_map<AttemptId,
                     std::pair<SocketAddress, std::shared_ptr<Connection>>>
    mAttempts;
};

} // namespace verbenachute
