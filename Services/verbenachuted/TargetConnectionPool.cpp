#include "TargetConnectionPool.h"

#include <platform/RequestWire.h>

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>
#include <LibForward/IdleConnections.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// A non-idempotent request can not be retried if the target has closed the
// connection in the meantime, so it gets a new one instead of one that has been
// idle for longer.
constexpr Duration kMaximumNonIdempotentIdleTime = milliseconds(1500);

IdleConnection
IdleConnectionOf(const HttpClientStream& aStream, Instant aNow)
{
  return IdleConnection{ aNow - aStream.IdleSince(),
                         aStream.KeepAliveTimeout() };
}

TrafficCause
TrafficCauseOf(AttemptPurpose aPurpose)
{
  switch (aPurpose) {
    case AttemptPurpose::First:
      return TrafficCause::FirstAttempt;
    case AttemptPurpose::Hedge:
      return TrafficCause::Hedge;
    case AttemptPurpose::Retry:
      return TrafficCause::Retry;
  }
  VERIFY(!"unknown purpose");
}

} // namespace

TargetConnectionPool::TargetConnectionPool(EventLoop& aLoop,
                                           Logger& aLogger,
                                           MetricsRegistry& aMetrics,
                                           const Resources& aResources,
                                           ReplyArrived aReplyArrived,
                                           AttemptFailed aAttemptFailed)
  : mLoop(aLoop)
  , mLogger(aLogger)
  , mMetrics(aMetrics)
  , mResources(aResources)
  , mReceiveBudget(aResources.mMaximumReceivedBytes, &aResources.mMemory)
  , mReplyArrived(std::move(aReplyArrived))
  , mAttemptFailed(std::move(aAttemptFailed))
{
}

std::shared_ptr<TargetConnectionPool::Connection>
TargetConnectionPool::AcquireConnection(const SendAction& aAction)
{
  Connections& connections = mConnections[aAction.mAddress];
  const Instant now = mLoop.Now();
  const bool isIdempotent = aAction.mRequest->mMethod == "GET";
  std::shared_ptr<Connection> mostRecent;
  for (const std::shared_ptr<Connection>& connection :
       Connections(connections)) {
    if (connection->mAttempt.has_value()) {
      continue;
    }
    if (connection->mStream->IsBroken() ||
        !IsReusable(IdleConnectionOf(*connection->mStream, now))) {
      Drop(aAction.mAddress, connection);
      continue;
    }
    const bool isFresh =
      isIdempotent ||
      now - connection->mStream->IdleSince() < kMaximumNonIdempotentIdleTime;
    if (isFresh && (!mostRecent || connection->mStream->IdleSince() >
                                     mostRecent->mStream->IdleSince())) {
      mostRecent = connection;
    }
  }
  if (mostRecent) {
    return mostRecent;
  }
  Connections& remaining = mConnections[aAction.mAddress];
  if (remaining.size() >= aAction.mMaximumConnections) {
    // Replaces a connection that has been idle for too long for this request.
    const auto idle = std::find_if(remaining.begin(),
                                   remaining.end(),
                                   [](const std::shared_ptr<Connection>& aOne) {
                                     return !aOne->mAttempt.has_value();
                                   });
    if (idle == remaining.end()) {
      return nullptr;
    }
    Drop(aAction.mAddress, *idle);
  }
  if (!MakeRoom()) {
    return nullptr;
  }
  std::shared_ptr<Connection> created = std::make_shared<Connection>();
  created->mStream = std::make_unique<HttpClientStream>(
    mLoop, aAction.mAddress, PeerTimeouts(), &mReceiveBudget);
  mConnections[aAction.mAddress].push_back(created);
  ++mConnectionCount;
  return created;
}

bool
TargetConnectionPool::MakeRoom()
{
  if (mConnectionCount < mResources.mMaximumConnections) {
    return true;
  }
  std::optional<std::pair<SocketAddress, std::shared_ptr<Connection>>> longest;
  for (const auto& [address, connections] : mConnections) {
    for (const std::shared_ptr<Connection>& connection : connections) {
      if (!connection->mAttempt.has_value() &&
          (!longest.has_value() || connection->mStream->IdleSince() <
                                     longest->second->mStream->IdleSince())) {
        longest.emplace(address, connection);
      }
    }
  }
  if (!longest.has_value()) {
    return false;
  }
  Drop(longest->first, longest->second);
  return true;
}

void
TargetConnectionPool::Send(const SendAction& aAction)
{
  const std::shared_ptr<Connection> connection = AcquireConnection(aAction);
  const AttemptId attempt = aAction.mAttempt;
  if (!connection) {
    mLoop.Defer(
      [this, attempt]() { mAttemptFailed(attempt, AttemptFailure::NotSent); });
    return;
  }
  connection->mAttempt = attempt;
  connection->mTrafficCause.reset();
  if (aAction.mCrossesDomains) {
    connection->mTrafficCause = TrafficCauseOf(aAction.mPurpose);
  }
  const SocketAddress address = aAction.mAddress;
  mAttempts[attempt] = { address, connection };
  connection->mStream->Send(
    platform::TargetExchange(aAction),
    [this, connection, address, attempt](StreamOutcome aOutcome) {
      OnDone(connection, address, attempt, std::move(aOutcome));
    });
}

void
TargetConnectionPool::OnDone(const std::shared_ptr<Connection>& aConnection,
                             const SocketAddress& aAddress,
                             AttemptId aAttempt,
                             StreamOutcome aOutcome)
{
  if (mAttempts.erase(aAttempt) == 0) {
    // Cancelled; a deferred task destroys the stream.
    return;
  }
  aConnection->mAttempt.reset();
  CountTraffic(*aConnection);
  if (aConnection->mStream->IsBroken()) {
    Drop(aAddress, aConnection);
  }
  if (const StreamFailure* failure = std::get_if<StreamFailure>(&aOutcome)) {
    if (*failure == StreamFailure::TooLarge) {
      mMetrics.Add(Counter::TargetResponsesTooLarge);
      mLogger.Log(LogEvent(EventNumber::TargetResponseTooLarge)
                    .At(Step::Target)
                    .Peer(SocketAddressText(aAddress)));
    }
    mAttemptFailed(aAttempt, platform::AttemptFailureOf(*failure));
    return;
  }
  PartReply reply =
    platform::ReadTargetResponse(std::move(std::get<HttpResponse>(aOutcome)));
  reply.mCharge = std::make_shared<MemoryBudget::Charge>(
    &mResources.mMemory, reply.mBody.capacity());
  mReplyArrived(aAttempt, std::move(reply));
}

void
TargetConnectionPool::CountTraffic(Connection& aConnection)
{
  const std::size_t bytes = aConnection.mStream->TakeTransferredBytes();
  if (aConnection.mTrafficCause.has_value()) {
    mMetrics.AddTraffic(*aConnection.mTrafficCause, bytes);
  }
}

void
TargetConnectionPool::Drop(const SocketAddress& aAddress,
                           const std::shared_ptr<Connection>& aConnection)
{
  const auto found = mConnections.find(aAddress);
  if (found == mConnections.end()) {
    return;
  }
  // A copy, since aConnection may refer to the element that is erased.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<Connection> owned = aConnection;
  mConnectionCount -= std::erase(found->second, owned);
  if (found->second.empty()) {
    mConnections.erase(found);
  }
  // Destroyed by a deferred task, since this may run within a callback of the
  // stream.
  mLoop.Defer([owned]() {});
}

void
TargetConnectionPool::Cancel(AttemptId aAttempt)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return;
  }
  const std::pair<SocketAddress, std::shared_ptr<Connection>> entry =
    found->second;
  mAttempts.erase(found);
  CountTraffic(*entry.second);
  Drop(entry.first, entry.second);
  // The callback of the running exchange refers to the connection, which owns
  // the stream. Taking the stream out breaks this cycle, and the deferred task
  // closes the socket.
  std::shared_ptr<HttpClientStream> stream(std::move(entry.second->mStream));
  stream->Abort();
  mLoop.Defer([stream]() {});
}

bool
TargetConnectionPool::MayHaveLeft(AttemptId aAttempt) const
{
  const auto found = mAttempts.find(aAttempt);
  return found == mAttempts.end() ||
         found->second.second->mStream->WasConnected();
}

void
TargetConnectionPool::CloseIdle()
{
  const Instant now = mLoop.Now();
  std::vector<std::pair<SocketAddress, std::shared_ptr<Connection>>> surplus;
  for (const auto& entry : mConnections) {
    Connections idle;
    std::vector<IdleConnection> states;
    for (const std::shared_ptr<Connection>& connection : entry.second) {
      if (connection->mAttempt.has_value()) {
        continue;
      }
      if (connection->mStream->IsBroken()) {
        surplus.emplace_back(entry.first, connection);
        continue;
      }
      idle.push_back(connection);
      states.push_back(IdleConnectionOf(*connection->mStream, now));
    }
    for (const std::size_t index : SurplusConnections(states)) {
      surplus.emplace_back(entry.first, idle[index]);
    }
  }
  for (const auto& entry : surplus) {
    Drop(entry.first, entry.second);
  }
}

} // namespace verbenachute
