#pragma once

#include "MembershipService.h"
#include "QueryService.h"

#include <LibOnce/OnceRelay.h>
#include <LibOnce/OnceTable.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>

namespace verbenachute {

/// Carries out non-idempotent requests: runs those that belong to this node
/// and relays the others to the node of their ticket.
class OnceService
{
public:
  using Done = std::function<void(const QueryOutcome&)>;

  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    MembershipService& mMembership;
    QueryService& mQueries;
    MetricsRegistry& mMetrics;
    Logger& mLogger;
  };

  OnceService(const NodeIdentity& aSelf,
              const OnceTable::Settings& aSettings,
              Dependencies aDependencies);

  /// Takes a request of a caller. aDone is called once; the returned waiter
  /// can be dropped when the caller hangs up.
  void Submit(const QueryRequest& aRequest, Done aDone);
  /// Takes a request that a peer relays; the outcome goes back over its
  /// session.
  void OnRelayedRequest(const PeerPort::SessionHandle& aSession,
                        const RelayedRequest& aRequest);

  [[nodiscard]] OnceTable& Table();
  void Start();

private:
  struct Relay
  {
    OnceRelay mDecision;
    SocketAddress mAddress;
    Done mDone;
  };

  void Take(const QueryRequest& aRequest, OnceOrigin aOrigin, Done aDone);
  void Run(const QueryRequest& aRequest, const OnceKey& aKey);
  void StartRelay(const QueryRequest& aRequest,
                  const NodeIdentity& aTicket,
                  Done aDone);
  void Continue(RelayId aRelay, const RelayAction& aAction);
  void AnswerWaiters(const std::vector<WaiterId>& aWaiters,
                     const QueryOutcome& aOutcome);
  void OnLinkFailed(const SocketAddress& aAddress);
  void Tick();

  NodeIdentity mSelf;
  Dependencies mDependencies;
  OnceTable mTable;
  Timer mTimer;
  std::uint64_t mNextWaiter = 1;
  std::map<WaiterId, Done> mWaiters;
  std::uint64_t mNextRelay = 1;
  std::map<RelayId, Relay> mRelays;
};

} // namespace verbenachute
