#include "OnceService.h"

#include <LibCore/RendezvousHash.h>
#include <LibCore/SocketAddressText.h>
#include <LibTransport/PeerSession.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kTickInterval = milliseconds(20);

} // namespace

OnceService::OnceService(const NodeIdentity& aSelf,
                         const OnceTable::Settings& aSettings,
                         Dependencies aDependencies)
  : mSelf(aSelf)
  , mDependencies(aDependencies)
  , mTable(aSelf, aSettings, mDependencies.mLoop.Now())
  , mTimer(mDependencies.mLoop, [this]() { Tick(); })
{
  mDependencies.mPeers.AnswerArrived().connect(
    [this](const PeerMessage& aMessage) {
      const RelayedOutcome* outcome = std::get_if<RelayedOutcome>(&aMessage);
      if (outcome == nullptr) {
        return;
      }
      const auto found = mRelays.find(outcome->mRelay);
      if (found != mRelays.end()) {
        Continue(outcome->mRelay,
                 found->second.mDecision.OnReply(outcome->mOutcome));
      }
    });
  mDependencies.mPeers.MessageDropped().connect(
    [this](const PeerMessage& aMessage) {
      const RelayedRequest* request = std::get_if<RelayedRequest>(&aMessage);
      if (request == nullptr) {
        return;
      }
      mDependencies.mLoop.Defer([this, relay = request->mRelay]() {
        const auto found = mRelays.find(relay);
        if (found != mRelays.end()) {
          Continue(relay, found->second.mDecision.OnLinkLost());
        }
      });
    });
  mDependencies.mPeers.LinkFailed().connect(
    [this](const SocketAddress& aAddress) { OnLinkFailed(aAddress); });
}

void
OnceService::Submit(const QueryRequest& aRequest, Done aDone)
{
  Take(aRequest, OnceOrigin::Caller, std::move(aDone));
}

void
OnceService::OnRelayedRequest(const PeerPort::SessionHandle& aSession,
                              const RelayedRequest& aRequest)
{
  Take(aRequest.mRequest,
       OnceOrigin::Peer,
       [aSession, relay = aRequest.mRelay](const QueryOutcome& aOutcome) {
         const std::shared_ptr<PeerSession> session = aSession.lock();
         if (session != nullptr) {
           session->Queue(RelayedOutcome{ relay, aOutcome });
         }
       });
}

OnceTable&
OnceService::Table()
{
  return mTable;
}

void
OnceService::Start()
{
  Tick();
}

void
OnceService::Take(const QueryRequest& aRequest, OnceOrigin aOrigin, Done aDone)
{
  OnceRequest request;
  request.mKey = OnceKey{ aRequest.mCaller, aRequest.mRequest };
  request.mFingerprint = FingerprintOf(aRequest.mService, aRequest.mQuery);
  request.mTicket = aRequest.mTicket;
  request.mOrigin = aOrigin;
  request.mWaiter = WaiterId(mNextWaiter++);
  request.mTimeLeft = aRequest.mTimeLeft;
  const OnceDecision decision =
    mTable.Decide(request, mDependencies.mLoop.Now());
  if (const OnceRun* run = std::get_if<OnceRun>(&decision)) {
    mWaiters.emplace(request.mWaiter, std::move(aDone));
    Run(aRequest, run->mKey);
  } else if (std::holds_alternative<OnceJoin>(decision)) {
    mWaiters.emplace(request.mWaiter, std::move(aDone));
  } else if (const OnceReplay* replay = std::get_if<OnceReplay>(&decision)) {
    mDependencies.mMetrics.Add(Counter::RequestsReplayed);
    aDone(replay->mOutcome);
  } else if (const OnceRelayTo* relay = std::get_if<OnceRelayTo>(&decision)) {
    mDependencies.mMetrics.Add(Counter::RequestsRelayed);
    StartRelay(aRequest, relay->mTicket, std::move(aDone));
  } else {
    aDone(std::get<OnceRefuse>(decision).mRefusal);
  }
}

void
OnceService::Run(const QueryRequest& aRequest, const OnceKey& aKey)
{
  mDependencies.mQueries.Submit(
    aRequest, [this, aKey](const QueryOutcome& aOutcome) {
      AnswerWaiters(mTable.Finish(aKey, aOutcome, mDependencies.mLoop.Now()),
                    aOutcome);
    });
}

void
OnceService::StartRelay(const QueryRequest& aRequest,
                        const NodeIdentity& aTicket,
                        Done aDone)
{
  const Instant now = mDependencies.mLoop.Now();
  const std::optional<Member> home =
    mDependencies.mMembership.Table().Find(aTicket.mName, now);
  std::optional<NodeIdentity> identity;
  SocketAddress address;
  OnceRelay::HomeLink link = OnceRelay::HomeLink::Absent;
  if (home.has_value() && home->mState != MemberState::Unheard) {
    identity = home->mDescription.mIdentity;
    address = home->mDescription.mPeerAddress;
    link = OnceRelay::HomeLink::Ready;
  }
  const RelayId id(mNextRelay++);
  const auto relay =
    mRelays
      .emplace(
        id,
        Relay{ OnceRelay(aRequest.mRequest, aTicket, now + aRequest.mTimeLeft),
               address,
               std::move(aDone) })
      .first;
  const RelayAction action = relay->second.mDecision.Start(identity, link, now);
  if (const RelaySend* send = std::get_if<RelaySend>(&action)) {
    mDependencies.mPeers.Send(
      address, send->mHome, RelayedRequest{ id, aRequest });
    return;
  }
  Continue(id, action);
}

void
OnceService::Continue(RelayId aRelay, const RelayAction& aAction)
{
  const RelayAnswer* answer = std::get_if<RelayAnswer>(&aAction);
  if (answer == nullptr) {
    return;
  }
  const auto found = mRelays.find(aRelay);
  Done done = std::move(found->second.mDone);
  mRelays.erase(found);
  done(answer->mOutcome);
}

void
OnceService::AnswerWaiters(const std::vector<WaiterId>& aWaiters,
                           const QueryOutcome& aOutcome)
{
  for (const WaiterId& waiter : aWaiters) {
    const auto found = mWaiters.find(waiter);
    if (found == mWaiters.end()) {
      continue;
    }
    Done done = std::move(found->second);
    mWaiters.erase(found);
    done(aOutcome);
  }
}

void
OnceService::OnLinkFailed(const SocketAddress& aAddress)
{
  std::vector<RelayId> lost;
  for (const std::pair<const RelayId, Relay>& relay : mRelays) {
    if (relay.second.mAddress == aAddress) {
      lost.push_back(relay.first);
    }
  }
  for (const RelayId& id : lost) {
    const auto found = mRelays.find(id);
    if (found != mRelays.end()) {
      Continue(id, found->second.mDecision.OnLinkLost());
    }
  }
}

void
OnceService::Tick()
{
  mTimer.Start(kTickInterval);
  const Instant now = mDependencies.mLoop.Now();
  const QueryRefusal late{ RequestId(),
                           Error{ Step::AtMostOnce,
                                  ErrorCode::DeadlinePassed,
                                  mSelf.mName.value(),
                                  "the request still runs" },
                           Execution::OutcomeUnknown };
  AnswerWaiters(mTable.Tick(now), late);
  std::vector<RelayId> due;
  for (const std::pair<const RelayId, Relay>& relay : mRelays) {
    due.push_back(relay.first);
  }
  for (const RelayId& id : due) {
    const auto found = mRelays.find(id);
    if (found != mRelays.end()) {
      Continue(id, found->second.mDecision.Tick(now));
    }
  }
}

} // namespace verbenachute
