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

/// The connections of this node to targets. How many there may be is decided
/// by the dispatch gate; this class only keeps idle ones for reuse.
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
  /// ConnectionLost follows, unless the exchange is closed first.
  void Send(DispatchId aDispatch,
            const SocketAddress& aAddress,
            const SubQuery& aSubQuery,
            Instant aRunUntil);
  /// Asks the target to stop; CancelAnswered follows.
  void Cancel(DispatchId aDispatch, const SocketAddress& aAddress);
  void CloseExchange(DispatchId aDispatch);
  /// Asks for the versions of a target; ProbeAnswered follows.
  void Probe(const TargetName& aTarget,
             const SocketAddress& aAddress,
             Duration aTimeout);
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

  [[nodiscard]] PooledConnection TakeIdle(const SocketAddress& aAddress,
                                          const TargetName& aTarget);
  void Return(const SocketAddress& aAddress, PooledConnection aConnection);
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
  Pool mIdle;
  std::map<DispatchId, RunningExchange> mRunning;
  // Cancels and probes, which have no dispatch of their own.
  std::map<std::uint64_t, RunningExchange> mControl;
  std::uint64_t mNextControl = 1;
  ReplySignal mReplyArrived;
  DispatchSignal mConnectionFailed;
  DispatchSignal mConnectionLost;
  CancelSignal mCancelAnswered;
  ProbeSignal mProbeAnswered;
  TargetSignal mIdleConnectionLost;
};

} // namespace verbenachute
