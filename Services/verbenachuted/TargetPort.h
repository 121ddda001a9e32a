#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/SubQuery.h>
#include <LibDispatch/DispatchId.h>
#include <LibDispatch/TargetReply.h>
#include <LibTransport/HttpClientConnection.h>

#include <map>
#include <memory>
#include <set>

namespace verbenachute {

/// The connections of this node to targets. The dispatch gate decides how many
/// there may be; this class only pools idle ones for reuse.
class TargetPort
{
public:
  using DispatchSignal = sigc::signal<void(DispatchId)>;
  using ReplySignal = sigc::signal<void(DispatchId, const TargetReply&)>;
  using CancelSignal = sigc::signal<void(DispatchId, CancelOutcome)>;
  using ProbeSignal =
    sigc::signal<void(const TargetName&,
                      const Result<std::vector<HeldVersion>>&)>;
  using TargetSignal = sigc::signal<void(const TargetName&)>;

  TargetPort(EventLoop& aLoop, const NodeIdentity& aSelf);

  /// Sends a sub-query. One of ReplyArrived, ConnectionFailed and
  /// ConnectionLost is emitted later, unless the exchange is closed first.
  /// ConnectionFailed is also emitted if aRunUntil has passed.
  void Send(DispatchId aDispatch,
            const SocketAddress& aAddress,
            const SubQuery& aSubQuery,
            Instant aRunUntil);
  /// Requests the target to stop a sub-query. CancelAnswered is emitted later,
  /// with CancelOutcome::Failed if the target did not reply.
  void Cancel(DispatchId aDispatch, const SocketAddress& aAddress);
  /// Closes the connection of a running sub-query; its result is not reported.
  void CloseExchange(DispatchId aDispatch);
  /// Requests the versions that a target holds. ProbeAnswered is emitted later,
  /// with an Unreachable error if the target did not reply within aTimeout.
  void Probe(const TargetName& aTarget,
             const SocketAddress& aAddress,
             Duration aTimeout);
  /// Closes the idle connections to an address.
  void CloseIdle(const SocketAddress& aAddress);

  [[nodiscard]] ReplySignal& ReplyArrived();
  [[nodiscard]] DispatchSignal& ConnectionFailed();
  [[nodiscard]] DispatchSignal& ConnectionLost();
  [[nodiscard]] CancelSignal& CancelAnswered();
  [[nodiscard]] ProbeSignal& ProbeAnswered();
  [[nodiscard]] TargetSignal& IdleConnectionLost();

private:
  struct PooledConnection
  {
    std::unique_ptr<HttpClientConnection> mConnection;
    TargetName mTarget;
  };
  using Pool = std::multimap<SocketAddress, PooledConnection>;

  [[nodiscard]] PooledConnection AcquireConnection(
    const SocketAddress& aAddress,
    const TargetName& aTarget);
  void ReturnToPool(const SocketAddress& aAddress,
                    PooledConnection aConnection);
  void OnIdleClosed(HttpClientConnection* aConnection);
  void OnOutcome(DispatchId aDispatch, const HttpOutcome& aOutcome);
  [[nodiscard]] std::string AttemptName(DispatchId aDispatch) const;
  void Exchange(const SocketAddress& aAddress,
                const TargetName& aTarget,
                const HttpRequest& aRequest,
                Duration aTimeout,
                HttpClientConnection::Done aDone);

  struct RunningExchange
  {
    SocketAddress mAddress;
    PooledConnection mConnection;
  };

  EventLoop& mLoop;
  NodeIdentity mSelf;
  Pool mIdleConnections;
  std::map<DispatchId, RunningExchange> mRunningExchanges;
  // Running cancellations and probes, which have no DispatchId of their own.
  std::map<std::uint64_t, RunningExchange> mControlExchanges;
  std::uint64_t mNextControlId = 1;
  ReplySignal mReplyArrived;
  DispatchSignal mConnectionFailed;
  DispatchSignal mConnectionLost;
  CancelSignal mCancelAnswered;
  ProbeSignal mProbeAnswered;
  TargetSignal mIdleConnectionLost;
};

} // namespace verbenachute
