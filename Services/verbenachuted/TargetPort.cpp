#include "TargetPort.h"

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>
#include <LibTarget/TargetCodec.h>

#include <json/json.h>
#include <utility>

namespace verbenachute {

namespace {

// The dispatch gate closes exchanges that take too long. The margin only ends
// one that it has lost track of.
constexpr Duration kExchangeMargin = seconds(5);
constexpr Duration kCancelTimeout = milliseconds(500);

std::string
CancelBody(const std::string& aAttempt)
{
  Json::Value body;
  body["attempt"] = aAttempt;
  return CompactJson(body);
}

} // namespace

TargetPort::TargetPort(EventLoop& aLoop, const NodeIdentity& aSelf)
  : mLoop(aLoop)
  , mSelf(aSelf)
{
}

void
TargetPort::Send(DispatchId aDispatch,
                 const SocketAddress& aAddress,
                 const SubQuery& aSubQuery,
                 Instant aRunUntil)
{
  const Duration timeLeft = aRunUntil - mLoop.Now();
  if (timeLeft <= Duration(0)) {
    // The process was paused after the gate had decided to send.
    mLoop.Defer([this, aDispatch]() { mConnectionFailed.emit(aDispatch); });
    return;
  }
  const UnixMilliseconds deadline =
    mLoop.SystemTime().WallTime() +
    std::chrono::duration_cast<UnixMilliseconds>(timeLeft);
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mPath = "/v1/query";
  request.mBody =
    WriteTargetQuery(aSubQuery, AttemptName(aDispatch), timeLeft, deadline);
  RunningExchange& running =
    mRunningExchanges
      .emplace(aDispatch,
               RunningExchange{
                 aAddress, AcquireConnection(aAddress, aSubQuery.mTarget) })
      .first->second;
  running.mConnection.mConnection->Send(
    request,
    timeLeft + kExchangeMargin,
    [this, aDispatch](const HttpOutcome& aOutcome) {
      OnOutcome(aDispatch, aOutcome);
    });
}

void
TargetPort::Cancel(DispatchId aDispatch, const SocketAddress& aAddress)
{
  HttpRequest request;
  request.mMethod = HttpMethod::Post;
  request.mPath = "/v1/cancel";
  request.mBody = CancelBody(AttemptName(aDispatch));
  Exchange(aAddress,
           TargetName(),
           request,
           kCancelTimeout,
           [this, aDispatch](const HttpOutcome& aOutcome) {
             const HttpReply* reply = std::get_if<HttpReply>(&aOutcome);
             mCancelAnswered.emit(aDispatch,
                                  reply == nullptr ? CancelOutcome::Failed
                                                   : ParseCancelReply(*reply));
           });
}

void
TargetPort::CloseExchange(DispatchId aDispatch)
{
  mRunningExchanges.erase(aDispatch);
}

void
TargetPort::Probe(const TargetName& aTarget,
                  const SocketAddress& aAddress,
                  Duration aTimeout)
{
  HttpRequest request;
  request.mPath = "/v1/versions";
  Exchange(aAddress,
           aTarget,
           request,
           aTimeout,
           [this, aTarget](const HttpOutcome& aOutcome) {
             const HttpReply* reply = std::get_if<HttpReply>(&aOutcome);
             if (reply == nullptr) {
               mProbeAnswered.emit(aTarget,
                                   Error{ Step::Target,
                                          ErrorCode::Unreachable,
                                          aTarget.value(),
                                          "the target did not answer" });
               return;
             }
             mProbeAnswered.emit(aTarget, ParseVersionsReply(*reply));
           });
}

void
TargetPort::CloseIdle(const SocketAddress& aAddress)
{
  mIdleConnections.erase(aAddress);
}

TargetPort::ReplySignal&
TargetPort::ReplyArrived()
{
  return mReplyArrived;
}

TargetPort::DispatchSignal&
TargetPort::ConnectionFailed()
{
  return mConnectionFailed;
}

TargetPort::DispatchSignal&
TargetPort::ConnectionLost()
{
  return mConnectionLost;
}

TargetPort::CancelSignal&
TargetPort::CancelAnswered()
{
  return mCancelAnswered;
}

TargetPort::ProbeSignal&
TargetPort::ProbeAnswered()
{
  return mProbeAnswered;
}

TargetPort::TargetSignal&
TargetPort::IdleConnectionLost()
{
  return mIdleConnectionLost;
}

TargetPort::PooledConnection
TargetPort::AcquireConnection(const SocketAddress& aAddress,
                              const TargetName& aTarget)
{
  const auto found = mIdleConnections.find(aAddress);
  if (found != mIdleConnections.end()) {
    PooledConnection connection = std::move(found->second);
    mIdleConnections.erase(found);
    return connection;
  }
  PooledConnection connection{
    std::make_unique<HttpClientConnection>(mLoop, aAddress), aTarget
  };
  HttpClientConnection* raw = connection.mConnection.get();
  raw->IdleClosed().connect([this, raw]() { OnIdleClosed(raw); });
  return connection;
}

void
TargetPort::ReturnToPool(const SocketAddress& aAddress,
                         PooledConnection aConnection)
{
  if (aConnection.mConnection->IsUsable()) {
    mIdleConnections.emplace(aAddress, std::move(aConnection));
  }
}

void
TargetPort::OnIdleClosed(HttpClientConnection* aConnection)
{
  for (auto entry = mIdleConnections.begin(); entry != mIdleConnections.end();
       ++entry) {
    if (entry->second.mConnection.get() != aConnection) {
      continue;
    }
    const TargetName target = entry->second.mTarget;
    // Destroyed by a deferred task, since the connection is emitting this
    // signal.
    std::shared_ptr<HttpClientConnection> closedConnection =
      std::move(entry->second.mConnection);
    mIdleConnections.erase(entry);
    mLoop.Defer([this, closedConnection, target]() {
      if (!target.value().empty()) {
        mIdleConnectionLost.emit(target);
      }
    });
    return;
  }
}

void
TargetPort::OnOutcome(DispatchId aDispatch, const HttpOutcome& aOutcome)
{
  const auto found = mRunningExchanges.find(aDispatch);
  RunningExchange running = std::move(found->second);
  mRunningExchanges.erase(found);
  ReturnToPool(running.mAddress, std::move(running.mConnection));
  if (const HttpReply* reply = std::get_if<HttpReply>(&aOutcome)) {
    mReplyArrived.emit(aDispatch,
                       ParseTargetReply(*reply, AttemptName(aDispatch)));
    return;
  }
  const HttpFailure& failure = std::get<HttpFailure>(aOutcome);
  if (failure.mExecution == Execution::NotRun) {
    mConnectionFailed.emit(aDispatch);
    return;
  }
  mConnectionLost.emit(aDispatch);
}

std::string
TargetPort::AttemptName(DispatchId aDispatch) const
{
  return NodeIdentityText(mSelf) + "/" + std::to_string(aDispatch.value());
}

void
TargetPort::Exchange(const SocketAddress& aAddress,
                     const TargetName& aTarget,
                     const HttpRequest& aRequest,
                     Duration aTimeout,
                     HttpClientConnection::Done aDone)
{
  const std::uint64_t id = mNextControlId++;
  RunningExchange& running =
    mControlExchanges
      .emplace(
        id, RunningExchange{ aAddress, AcquireConnection(aAddress, aTarget) })
      .first->second;
  running.mConnection.mConnection->Send(
    aRequest,
    aTimeout,
    [this, id, done = std::move(aDone)](const HttpOutcome& aOutcome) {
      const auto found = mControlExchanges.find(id);
      RunningExchange finished = std::move(found->second);
      mControlExchanges.erase(found);
      ReturnToPool(finished.mAddress, std::move(finished.mConnection));
      done(aOutcome);
    });
}

} // namespace verbenachute
