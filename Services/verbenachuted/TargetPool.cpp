#include "TargetPool.h"

#include <platform/RequestWire.h>

#include <LibForward/ConnectionUpkeep.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// A request that must not run twice takes a new connection rather than one
// that may have been closed meanwhile.
constexpr Duration kFreshEnough = milliseconds(1500);

IdleConnection
IdleStateOf(const HttpClientStream& aStream, Instant aNow)
{
  return IdleConnection{ aNow - aStream.IdleSince(),
                         aStream.KeepAliveTimeout() };
}

} // namespace

TargetPool::TargetPool(EventLoop& aLoop,
                       ReplyArrived aReplyArrived,
                       AttemptFailed aAttemptFailed)
  : mLoop(aLoop)
  , mReplyArrived(std::move(aReplyArrived))
  , mAttemptFailed(std::move(aAttemptFailed))
{
}

std::shared_ptr<TargetPool::Connection>
TargetPool::TakeConnection(const SendAction& aAction)
{
  Connections& connections = mConnections[aAction.mAddress];
  const Instant now = mLoop.Now();
  const bool idempotent = aAction.mRequest->mMethod == "GET";
  std::shared_ptr<Connection> best;
  for (const std::shared_ptr<Connection>& connection :
       Connections(connections)) {
    if (connection->mAttempt.has_value()) {
      continue;
    }
    if (connection->mStream->IsBroken() ||
        !IsFitForUse(IdleStateOf(*connection->mStream, now))) {
      Drop(aAction.mAddress, connection);
      continue;
    }
    const bool fresh =
      idempotent || now - connection->mStream->IdleSince() < kFreshEnough;
    if (fresh && (!best || connection->mStream->IdleSince() >
                             best->mStream->IdleSince())) {
      best = connection;
    }
  }
  if (best) {
    return best;
  }
  Connections& left = mConnections[aAction.mAddress];
  if (left.size() >= aAction.mConnections) {
    // An idle one that is too old for this request makes room.
    const auto idle = std::find_if(
      left.begin(), left.end(), [](const std::shared_ptr<Connection>& aOne) {
        return !aOne->mAttempt.has_value();
      });
    if (idle == left.end()) {
      return nullptr;
    }
    Drop(aAction.mAddress, *idle);
  }
  std::shared_ptr<Connection> made = std::make_shared<Connection>();
  made->mStream = std::make_unique<HttpClientStream>(
    mLoop, aAction.mAddress, SilenceLimits());
  mConnections[aAction.mAddress].push_back(made);
  return made;
}

void
TargetPool::Send(const SendAction& aAction)
{
  const std::shared_ptr<Connection> connection = TakeConnection(aAction);
  const AttemptId attempt = aAction.mAttempt;
  if (!connection) {
    mLoop.Defer(
      [this, attempt]() { mAttemptFailed(attempt, AttemptFailure::NotSent); });
    return;
  }
  connection->mAttempt = attempt;
  const SocketAddress address = aAction.mAddress;
  mAttempts[attempt] = { address, connection };
  connection->mStream->Send(
    platform::TargetExchange(aAction),
    [this, connection, address, attempt](StreamOutcome aOutcome) {
      OnDone(connection, address, attempt, std::move(aOutcome));
    });
}

void
TargetPool::OnDone(const std::shared_ptr<Connection>& aConnection,
                   const SocketAddress& aAddress,
                   AttemptId aAttempt,
                   StreamOutcome aOutcome)
{
  if (mAttempts.erase(aAttempt) == 0) {
    // Cancelled; the stream ends in a moment.
    return;
  }
  aConnection->mAttempt.reset();
  if (aConnection->mStream->IsBroken()) {
    Drop(aAddress, aConnection);
  }
  if (const StreamFailure* failure = std::get_if<StreamFailure>(&aOutcome)) {
    mAttemptFailed(aAttempt, platform::ReadTargetFailure(*failure));
    return;
  }
  mReplyArrived(
    aAttempt,
    platform::ReadTargetResponse(std::move(std::get<HttpResponse>(aOutcome))));
}

void
TargetPool::Drop(const SocketAddress& aAddress,
                 const std::shared_ptr<Connection>& aConnection)
{
  const auto found = mConnections.find(aAddress);
  if (found == mConnections.end()) {
    return;
  }
  // A copy, since the caller's may be the element that is erased.
  // NOLINTNEXTLINE(performance-unnecessary-copy-initialization)
  const std::shared_ptr<Connection> kept = aConnection;
  std::erase(found->second, kept);
  if (found->second.empty()) {
    mConnections.erase(found);
  }
  // Freed from the loop: this may run within a callback of the stream.
  mLoop.Defer([kept]() {});
}

void
TargetPool::Cancel(AttemptId aAttempt)
{
  const auto found = mAttempts.find(aAttempt);
  if (found == mAttempts.end()) {
    return;
  }
  const std::pair<SocketAddress, std::shared_ptr<Connection>> entry =
    found->second;
  mAttempts.erase(found);
  Drop(entry.first, entry.second);
  // The stream closes its socket now; its callback holds the connection.
  std::shared_ptr<HttpClientStream> stream(std::move(entry.second->mStream));
  mLoop.Defer([stream]() {});
}

void
TargetPool::CloseIdle()
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
      states.push_back(IdleStateOf(*connection->mStream, now));
    }
    for (const std::size_t place : SurplusConnections(states)) {
      surplus.emplace_back(entry.first, idle[place]);
    }
  }
  for (const auto& entry : surplus) {
    Drop(entry.first, entry.second);
  }
}

std::size_t
TargetPool::ConnectionCount() const
{
  std::size_t count = 0;
  for (const auto& entry : mConnections) {
    count += entry.second.size();
  }
  return count;
}

} // namespace verbenachute
