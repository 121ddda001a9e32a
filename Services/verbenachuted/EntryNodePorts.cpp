#include "EntryNodeParts.h"

#include "EntrySettings.h"
#include "OutcomeLog.h"

#include <platform/RequestWire.h>

#include <LibCore/Verify.h>
#include <LibEntry/OutcomeMetrics.h>
#include <LibForward/RetryAfter.h>
#include <LibTenant/Authenticator.h>

#include <algorithm>
#include <cstdlib>
#include <utility>

// Handles the requests of callers, of the platform and of peers.

namespace verbenachute {

namespace {

constexpr int kDecimal = 10;
constexpr int kOk = 200;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;
// Addresses in one response of the directory.
constexpr std::size_t kMaximumAddresses = 64;
// Evictions within this time are followed by one return of free memory.
constexpr Duration kTrimDelay = milliseconds(100);

/// The number that a parameter of a request has; 0 if it is absent.
std::uint64_t
NumberParameter(const std::string& aTarget, const char* aName)
{
  return std::strtoull(
    QueryParameter(aTarget, aName).c_str(), nullptr, kDecimal);
}

} // namespace

Result<Success>
EntryNode::Parts::Listen()
{
  struct Port
  {
    std::optional<SocketAddress> mAddress;
    std::unique_ptr<HttpListener>* mListener;
    void (Parts::*mHandler)(const CallPointer&);
    ClientResources mResources;
  };
  const Port ports[] = {
    { mSettings.CallerAddress(),
      &mCallerListener,
      &Parts::OnCallerCall,
      ResourcesFor(mShares.mCallerConnections) },
    { mSettings.DirectoryAddress(),
      &mDirectoryListener,
      &Parts::OnDirectoryCall,
      ResourcesFor(mShares.mDirectoryConnections) },
    { mSettings.ReadyAddress(),
      &mReadyListener,
      &Parts::OnReadyCall,
      ResourcesFor(mShares.mReadyConnections) },
    { mSettings.PeerAddress(),
      &mPeerListener,
      &Parts::OnPeerCall,
      ResourcesFor(mShares.mPeerConnections) },
  };
  for (const Port& port : ports) {
    if (!port.mAddress.has_value()) {
      continue;
    }
    Result<std::unique_ptr<HttpListener>> listener = HttpListener::Create(
      *mLoop,
      *port.mAddress,
      ServerLimits(),
      [this, handler = port.mHandler](const CallPointer& aCall) {
        (this->*handler)(aCall);
      },
      port.mResources);
    if (IsError(listener)) {
      return ErrorOf(listener);
    }
    *port.mListener = ReleaseValue(std::move(listener));
  }
  Result<std::unique_ptr<GatherPort>> gather =
    GatherPort::Create(*mLoop,
                       mMetrics,
                       mSettings.GatherAddress(),
                       { mClientMemory, mShares.mGatherLinks },
                       GatherHooks());
  if (IsError(gather)) {
    return ErrorOf(gather);
  }
  mGatherPort = ReleaseValue(std::move(gather));
  Result<std::unique_ptr<OperatorPort>> operators =
    OperatorPort::Create(mSelf,
                         mSettings.OperatorAddress(),
                         { *mLoop,
                           mStoreKeys,
                           mOperatorState,
                           ResourcesFor(mShares.mOperatorConnections) });
  if (IsError(operators)) {
    return ErrorOf(operators);
  }
  mOperatorPort = ReleaseValue(std::move(operators));
  return Success();
}

ClientResources
EntryNode::Parts::ResourcesFor(std::size_t aMaximumConnections)
{
  return ClientResources{ &mClientMemory, aMaximumConnections, [this]() {
                           mMetrics.Add(Counter::AcceptPauses);
                           mLogger.Log(LogEvent(EventNumber::AcceptingPaused));
                         } };
}

void
EntryNode::Parts::OnClientEvicted(const MemoryBudget::Eviction& aEviction)
{
  static const std::pair<MemoryBudget::Use, const char*> kUses[] = {
    { MemoryBudget::Use::IncompleteRequest, "incomplete_request" },
    { MemoryBudget::Use::UnreadResponse, "unread_response" },
    { MemoryBudget::Use::ReadAhead, "read_ahead" },
    { MemoryBudget::Use::PeerFrames, "peer_frames" },
  };
  const auto use =
    std::find_if(std::begin(kUses), std::end(kUses), [&](const auto& aEntry) {
      return aEntry.first == aEviction.mUse;
    });
  mMetrics.Add(Counter::ClientsEvicted);
  if (!mTrimTimer.IsRunning()) {
    mTrimTimer.Start(kTrimDelay);
  }
  mLogger.Log(LogEvent(EventNumber::ClientEvicted)
                .With("held_for", use->second)
                .With("reason",
                      aEviction.mReason == MemoryBudget::Reason::TooSlow
                        ? "too_slow"
                        : "over_limit")
                .With("bytes", aEviction.mBytes));
}

AfterResponse
EntryNode::Parts::ConnectionAfterResponse() const
{
  return mShutdown.Phase() == GracefulShutdownPhase::Serving
           ? AfterResponse::KeepOpen
           : AfterResponse::Close;
}

void
EntryNode::Parts::OnCallerCall(const CallPointer& aCall)
{
  mMetrics.Add(Counter::QueriesReceived);
  const RequestNumber number(mNextRequestNumber++);
  // The caller needed one round trip to connect before it could send.
  const Duration connecting = 2 * ForwardSettings().mCallerOneWayDelay;
  const std::shared_ptr<CallerRequest> request =
    platform::ReadCallerRequest(aCall.get(), connecting);
  const CallerRequestPointer charged = WithCharge(request, aCall->TakeCharge());
  mPendingCalls.emplace(number, PendingCall{ aCall, charged });
  aCall->CallerDisconnected().connect([this, number]() {
    mPendingCalls.erase(number);
    mQuota.Cancel(number);
    Perform(mEngine.OnCallerDisconnected(number, mLoop->Now()));
  });
  if (mEngine.Plan() && !mEngine.Plan()->Tenants().empty() &&
      !AuthenticateCall(number, request.get())) {
    return;
  }
  const Tenant* tenant =
    mEngine.Plan() ? mEngine.Plan()->FindTenant(request->mTenant) : nullptr;
  if (tenant != nullptr && tenant->mQuota.IsLimited()) {
    mQuota.Request(number, request->mTenant);
    return;
  }
  Perform(mEngine.Submit(number, charged, mLoop->Now()));
}

QuotaService::Hooks
EntryNode::Parts::QuotaHooks()
{
  return QuotaService::Hooks{
    *mLoop,
    mLogger,
    mMetrics,
    *mGossipPort,
    [this]() { return mEngine.Plan(); },
    [this](const NodeName& aNode) { return PeerAddressOf(aNode); },
    [this](RequestNumber aNumber, const QuotaDecisionAction& aDecision) {
      OnQuotaDecision(aNumber, aDecision);
    }
  };
}

std::optional<SocketAddress>
EntryNode::Parts::PeerAddressOf(const NodeName& aNode) const
{
  const auto found = mPeerAddresses.find(aNode);
  return found == mPeerAddresses.end() ? std::nullopt
                                       : std::optional(found->second);
}

void
EntryNode::Parts::OnQuotaDecision(RequestNumber aNumber,
                                  const QuotaDecisionAction& aDecision)
{
  const auto found = mPendingCalls.find(aNumber);
  VERIFY(found != mPendingCalls.end());
  if (aDecision.mDecision == QuotaDecision::Granted) {
    mMetrics.Add(Counter::QuotaGranted);
    found->second.mHasToken = true;
    Perform(mEngine.Submit(aNumber, found->second.mRequest, mLoop->Now()));
    return;
  }
  const bool isDenied = aDecision.mDecision == QuotaDecision::Denied;
  mMetrics.Add(isDenied ? Counter::QuotaDenied : Counter::QuotaUnknown);
  AnswerAction answer;
  answer.mNumber = aNumber;
  answer.mOutcome = RefusedOutcome{ isDenied ? RefusalReason::OverQuota
                                             : RefusalReason::QuotaUnknown,
                                    aDecision.mRetryAfter };
  answer.mSummary.mPlan = mEngine.Plan()->Version();
  answer.mSummary.mElapsed =
    mLoop->Now() - found->second.mRequest->mArrivalTime;
  Answer(std::move(answer));
}

PlanKnowledge
EntryNode::Parts::KnowledgeOfPlan() const
{
  const Instant now = mLoop->Now();
  PlanKnowledge knowledge;
  knowledge.mStoreAge = mGossip.StoreAge(now);
  const std::optional<Instant> ownResponse = mStore.Follower().LastResponse();
  if (ownResponse.has_value()) {
    knowledge.mStoreAge = std::min(
      knowledge.mStoreAge.value_or(now - *ownResponse), now - *ownResponse);
  }
  knowledge.mOwnVersion = mEngine.Plan()->Version();
  knowledge.mNewestVersion = mNewestPlanVersion;
  return knowledge;
}

bool
EntryNode::Parts::AuthenticateCall(RequestNumber aNumber,
                                   CallerRequest* aRequest)
{
  const ServingPlan& plan = *mEngine.Plan();
  const std::optional<KeyHash> key = platform::TakeKey(aRequest);
  const AuthenticationResult result =
    Authenticate(plan,
                 plan.FindRoute(aRequest->mHost, aRequest->mTarget),
                 key,
                 FreshnessOf(KnowledgeOfPlan()));
  const Authenticated* authenticated = std::get_if<Authenticated>(&result);
  if (authenticated == nullptr) {
    AnswerAction answer;
    answer.mNumber = aNumber;
    answer.mOutcome = NotAuthenticatedOutcome();
    if (std::holds_alternative<KeyUndecided>(result)) {
      answer.mOutcome =
        RefusedOutcome{ RefusalReason::KeyUndecided, kRetryAfterKeyUndecided };
    }
    answer.mSummary.mPlan = plan.Version();
    answer.mSummary.mElapsed = mLoop->Now() - aRequest->mArrivalTime;
    Answer(std::move(answer));
    return false;
  }
  if (authenticated->mTenant != nullptr) {
    aRequest->mTenant = authenticated->mTenant->mName;
    // Selectors and metrics tell callers apart by tenant instead of by host.
    aRequest->mCaller = CallerId(aRequest->mTenant.value());
    aRequest->mTenantPriority = authenticated->mTenant->mPriority;
  }
  return true;
}

void
EntryNode::Parts::OnDirectoryCall(const CallPointer& aCall)
{
  const std::optional<platform::AddressLookup> lookup =
    platform::ReadAddressLookup(*aCall);
  if (!lookup.has_value()) {
    aCall->Respond(kNotFound, HttpFields(), "");
    return;
  }
  std::vector<SocketAddress> addresses;
  for (const NodeStatus& node : ChooseAdvertisedNodes()) {
    addresses.push_back(node.mCallerAddress);
  }
  addresses.resize(std::min(addresses.size(), kMaximumAddresses));
  if (addresses.empty()) {
    aCall->Respond(kUnavailable, HttpFields(), "");
    return;
  }
  mMetrics.Add(Counter::AddressAnswers);
  HttpFields fields;
  fields.Add("Content-Type", "application/json");
  aCall->Respond(
    kOk,
    fields,
    platform::AddressResponseBody(addresses, mSettings.AddressValidity()));
}

std::vector<NodeStatus>
EntryNode::Parts::ChooseAdvertisedNodes()
{
  const Instant now = mLoop->Now();
  if (!mGossip.ReachesOtherDomains(now)) {
    // Either the nodes of the other domains have stopped, or this domain is cut
    // off from them while callers may still reach both sides. If nothing in
    // those domains answers the engine, this domain is cut off, and only the
    // nodes of the other domains can gather all shards.
    const std::vector<NodeStatus> otherDomainNodes =
      mGossip.RecentNodesOfOtherDomains(now);
    const bool isCutOff =
      !otherDomainNodes.empty() &&
      std::all_of(otherDomainNodes.begin(),
                  otherDomainNodes.end(),
                  [&](const NodeStatus& aNode) {
                    return mEngine.IsDomainUnreachable(aNode.mDomain, now);
                  });
    if (isCutOff) {
      return AdvertisementPolicy::Choose(otherDomainNodes);
    }
  }
  return AdvertisementPolicy::Choose(mGossip.ServingNodes(now));
}

void
EntryNode::Parts::OnReadyCall(const CallPointer& aCall)
{
  const bool isReadinessRequest = platform::IsReadinessProbe(*aCall);
  aCall->Respond(!isReadinessRequest ? kNotFound
                 : IsReady()         ? kOk
                                     : kUnavailable,
                 HttpFields(),
                 "");
}

void
EntryNode::Parts::OnPeerCall(const CallPointer& aCall)
{
  const StoreMirror& mirror = mStore.Follower().Mirror();
  const std::string path = aCall->mTarget.substr(0, aCall->mTarget.find('?'));
  if (path == "/metrics") {
    RespondWithMetrics(aCall);
    return;
  }
  if (path == "/plan") {
    const std::string& plan = mEntryState.EncodedPlan();
    aCall->Respond(plan.empty() ? kUnavailable : kOk, HttpFields(), plan);
    return;
  }
  if ((path != "/copy" && path != "/changes") || !mStore.Follower().HasCopy()) {
    aCall->Respond(kUnavailable, HttpFields(), "");
    return;
  }
  const Instant now = mLoop->Now();
  const std::string& update =
    path == "/copy"
      ? mStoreUpdateCache.Copy(mirror, now)
      : mStoreUpdateCache.Changes(
          mirror,
          { StoreEra(NumberParameter(aCall->mTarget, "era")),
            StoreRevision(NumberParameter(aCall->mTarget, "after")) },
          now);
  HttpFields fields;
  fields.Add("Content-Type", "application/octet-stream");
  aCall->Respond(kOk, fields, update);
}

void
EntryNode::Parts::RespondWithMetrics(const CallPointer& aCall)
{
  mMetrics.Set(Gauge::QueriesInFlight, mEngine.RunningRequests());
  mMetrics.Set(Gauge::ClientMemory, mClientMemory.Held());
  mMetrics.Set(Gauge::MembersAlive, mGossip.AliveCount(mLoop->Now()));
  mMetrics.Set(Gauge::ConfigurationRevision,
               mEntryState.Intent().RevisionInForce().value());
  HttpFields fields;
  fields.Add("Content-Type", "text/plain; version=0.0.4");
  aCall->Respond(kOk, fields, mMetrics.Exposition());
}

void
EntryNode::Parts::Answer(AnswerAction aAction)
{
  const auto found = mPendingCalls.find(aAction.mNumber);
  if (found == mPendingCalls.end()) {
    return;
  }
  const PendingCall pending = std::move(found->second);
  mPendingCalls.erase(found);
  if (pending.mHasToken &&
      std::holds_alternative<RefusedOutcome>(aAction.mOutcome)) {
    mQuota.Return(pending.mRequest->mTenant);
  }
  LogOutcome(aAction, pending.mRequest->mId, &mLogger);
  CountOutcome(aAction, pending.mRequest->mCaller, &mMetrics);
  platform::RespondToCaller(pending.mCall.get(),
                            *pending.mRequest,
                            std::move(aAction.mOutcome),
                            ConnectionAfterResponse());
}

} // namespace verbenachute
