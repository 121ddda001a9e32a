#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// Delegations of this node to peers.

namespace verbenachute {

namespace {

// Minimum number of shards for a delegation. The report on a single shard holds
// no more records than the answer to the caller, so it is shorter than the
// part.
constexpr std::size_t kMinimumDelegatedShards = 1;
// Part of the remaining time that is reserved for the peer's report on its way
// back.
constexpr Duration kReportReserve = milliseconds(2);

} // namespace

std::vector<const NodeName*>
ForwardEngine::PeersByDomain(const Request& aRequest, Instant aNow) const
{
  std::vector<const NodeName*> peers;
  for (const FailureDomain& domain : mTargets.Domains()) {
    peers.push_back(domain == mSettings.mDomain
                      ? nullptr
                      : mPeers.Choose(domain, aRequest.mPlan->Version(), aNow));
  }
  return peers;
}

DomainSet
ForwardEngine::PreferredRemoteDomains(
  const Request& aRequest,
  const Part& aPart,
  const std::vector<const NodeName*>& aPeers,
  Instant aNow)
{
  const ServiceSettings* serviceSettings =
    aRequest.mPlan->FindService(aPart.mService);
  const std::uint32_t share = ConnectionShare(serviceSettings);
  const Duration medianLatency = StatisticsOf(*aRequest.mRoute).MedianLatency();
  std::optional<Duration> ownLatency;
  std::vector<std::pair<std::size_t, Duration>> remoteLatencies;
  for (const TargetRecord* target : mTargets.Of(aPart.mService)) {
    if (!MayServe(
          *target, aRequest.mRequest->mCaller, aRequest.mRoute->mName) ||
        target->IsDown(aNow) || target->IsSuspect(aNow)) {
      continue;
    }
    const std::size_t domain = target->DomainIndex();
    const Duration latency = target->ExpectedLatency(medianLatency, aNow);
    if (target->Listed().mDomain == mSettings.mDomain) {
      const GateDecision gate =
        target->Gate().Decide(RateSharesOf(*target, serviceSettings, aNow),
                              AttemptPurpose::First,
                              0,
                              aNow);
      if (target->InFlight() < share && gate.MaySend()) {
        ownLatency = std::min(ownLatency.value_or(latency), latency);
      }
    } else if (domain < aPeers.size() && aPeers[domain] != nullptr &&
               !aPart.mDecliningDomains.test(domain) &&
               !mDomains.IsSuspected(domain, aNow)) {
      remoteLatencies.emplace_back(domain, latency);
    }
  }
  DomainSet domains;
  const auto soonest =
    std::min_element(remoteLatencies.begin(),
                     remoteLatencies.end(),
                     [](const auto& aOne, const auto& aOther) {
                       return aOne.second < aOther.second;
                     });
  if (soonest == remoteLatencies.end()) {
    return domains;
  }
  const Duration limit = soonest->second + mSettings.mCrossDomainCost;
  if (ownLatency.has_value() && *ownLatency <= limit) {
    return domains;
  }
  for (const std::pair<std::size_t, Duration>& remote : remoteLatencies) {
    if (remote.second <= limit) {
      domains.set(remote.first);
    }
  }
  return domains;
}

TargetName
ForwardEngine::PresumedTarget(const Request& aRequest,
                              const Part& aPart,
                              const FailureDomain& aDomain,
                              Instant aNow) const
{
  for (const TargetRecord* target : mTargets.Of(aPart.mService)) {
    const bool wasTried =
      std::find(aPart.mTriedTargets.begin(),
                aPart.mTriedTargets.end(),
                target->Listed().mName) != aPart.mTriedTargets.end();
    if (target->Listed().mDomain == aDomain && !wasTried &&
        !target->IsDown(aNow) &&
        MayServe(*target, aRequest.mRequest->mCaller, aRequest.mRoute->mName)) {
      return target->Listed().mName;
    }
  }
  return TargetName();
}

void
ForwardEngine::DelegateParts(RequestNumber aNumber,
                             Request* aRequest,
                             const std::vector<std::size_t>& aParts,
                             Instant aNow)
{
  if (mSettings.mGathering == ShardGathering::Direct ||
      aRequest->mShards == nullptr ||
      aRequest->mDeadline - aNow <= 2 * kReportReserve) {
    return;
  }
  const std::vector<const NodeName*> peers = PeersByDomain(*aRequest, aNow);
  std::vector<DomainSet> holders(aRequest->mParts.size());
  for (const std::size_t part : aParts) {
    holders[part] =
      PreferredRemoteDomains(*aRequest, aRequest->mParts[part], peers, aNow);
  }
  for (const DomainShards& shards :
       CoverShards(std::move(holders), kMinimumDelegatedShards)) {
    const NodeName* peer = peers[shards.mDomain];
    VERIFY(peer != nullptr);
    Delegate(
      aNumber, aRequest, shards, *peer, DelegationUrgency::IfPreferred, aNow);
  }
}

void
ForwardEngine::Delegate(RequestNumber aNumber,
                        Request* aRequest,
                        const DomainShards& aShards,
                        const NodeName& aPeer,
                        DelegationUrgency aUrgency,
                        Instant aNow)
{
  const FailureDomain& domain = mTargets.Domains()[aShards.mDomain];
  const DelegationNumber number(mNextDelegation++);
  OpenDelegation& open = mDelegations[number];
  open.mNumber = aNumber;
  open.mPeer = aPeer;
  open.mDomain = aShards.mDomain;
  open.mSent = aNow;
  open.mUrgency = aUrgency;
  open.mReportDue = aNow + StatisticsOf(*aRequest->mRoute).DelegationTimeout();
  for (const std::size_t index : aShards.mShardIndexes) {
    Part& part = aRequest->mParts[index];
    VERIFY(part.mShardIndex == index);
    const TargetName target = PresumedTarget(*aRequest, part, domain, aNow);
    open.mParts.emplace(index, target);
    part.mState = PartState::Running;
    part.mDelegations.push_back(number);
    part.mTriedTargets.push_back(target);
  }
  mPeers.OnSent(open.mPeer);
  aRequest->mDelegations.push_back(number);
  aRequest->mSummary.mDelegatedParts +=
    static_cast<std::uint32_t>(aShards.mShardIndexes.size());
  aRequest->mSummary.mPeerNames +=
    (aRequest->mSummary.mPeerNames.empty() ? "" : " ") + open.mPeer.value();
  mActions.push_back(DelegateAction{
    number,
    open.mPeer,
    DelegationRequest{ aRequest->mRequest,
                       aRequest->mPlan->Version(),
                       aShards.mShardIndexes,
                       aRequest->mDeadline - aNow - kReportReserve,
                       aUrgency,
                       RecordFloor(*aRequest) } });
}

void
ForwardEngine::StartParts(RequestNumber aNumber,
                          Request* aRequest,
                          const std::vector<std::size_t>& aParts,
                          Instant aNow)
{
  if (mPoison.IsPoisonous(aRequest->mFingerprint, aNow)) {
    // It was admitted before it was convicted, and has waited since.
    for (const std::size_t part : aParts) {
      aRequest->mParts[part].mState = PartState::Failed;
    }
    return;
  }
  DelegateParts(aNumber, aRequest, aParts, aNow);
  PeerBatches batches;
  for (const std::size_t part : aParts) {
    if (!aRequest->mParts[part].mDelegations.empty()) {
      continue;
    }
    TargetRecord* target = ChooseFirstTarget(aNumber, aRequest, part, aNow);
    if (target != nullptr) {
      SendOrBatch(
        aNumber, aRequest, part, target, AttemptPurpose::First, &batches, aNow);
    }
  }
  DelegateBatches(aNumber, aRequest, batches, aNow);
}

void
ForwardEngine::EndDelegation(DelegationNumber aDelegation, Request* aRequest)
{
  const auto found = mDelegations.find(aDelegation);
  VERIFY(found != mDelegations.end());
  mPeers.OnCompleted(found->second.mPeer);
  std::erase(aRequest->mDelegations, aDelegation);
  mDelegations.erase(found);
}

std::map<std::size_t, TargetName>
ForwardEngine::ReclaimParts(DelegationNumber aDelegation, Request* aRequest)
{
  std::map<std::size_t, TargetName> parts =
    std::move(mDelegations.at(aDelegation).mParts);
  for (const auto& entry : parts) {
    std::erase(aRequest->mParts[entry.first].mDelegations, aDelegation);
  }
  EndDelegation(aDelegation, aRequest);
  return parts;
}

void
ForwardEngine::CancelDelegations(Request* aRequest, CancelReason aReason)
{
  for (const DelegationNumber delegation :
       std::exchange(aRequest->mDelegations, {})) {
    mActions.push_back(CancelDelegationAction{ delegation, aReason });
    EndDelegation(delegation, aRequest);
  }
}

void
ForwardEngine::HedgeOverdueDelegation(DelegationNumber aDelegation,
                                      Request* aRequest,
                                      Instant aNow)
{
  OpenDelegation& open = mDelegations.at(aDelegation);
  if (!open.mReportDue.has_value() || aNow < *open.mReportDue) {
    return;
  }
  open.mReportDue.reset();
  StatisticsOf(*aRequest->mRoute).ObserveDelegation(aNow - open.mSent);
  mPeers.OnFailed(open.mPeer, aNow);
  const RequestNumber number = open.mNumber;
  std::vector<std::size_t> overdue;
  for (const auto& entry : open.mParts) {
    if (aRequest->mParts[entry.first].mState == PartState::Running) {
      overdue.push_back(entry.first);
    }
  }
  HedgeParts(number, aRequest, overdue, aNow);
}

ForwardActions
ForwardEngine::OnDelegationResponse(DelegationNumber aDelegation,
                                    const DelegationResponse& aResponse,
                                    Instant aNow)
{
  const auto found = mDelegations.find(aDelegation);
  if (found == mDelegations.end()) {
    return {};
  }
  const RequestNumber number = found->second.mNumber;
  Request& request = mRequests.at(number);
  const DelegationReport* report = std::get_if<DelegationReport>(&aResponse);
  if (report == nullptr) {
    mPeers.OnFailed(found->second.mPeer, aNow);
    RestartDelegatedParts(aDelegation, &request, aNow);
  } else if (!IsValidReport(*report, found->second, request)) {
    mPeers.OnFailed(found->second.mPeer, aNow);
    mActions.push_back(
      CancelDelegationAction{ aDelegation, CancelReason::Completed });
    FailDelegation(aDelegation, &request, aNow);
  } else {
    mPeers.OnAnswered(found->second.mPeer);
    ApplyReport(aDelegation, *report, &request, aNow);
  }
  Evaluate(number, aNow);
  return TakeActions();
}

ForwardActions
ForwardEngine::OnDelegationFailure(DelegationNumber aDelegation,
                                   AttemptFailure aFailure,
                                   Instant aNow)
{
  const auto found = mDelegations.find(aDelegation);
  if (found == mDelegations.end()) {
    return {};
  }
  const RequestNumber number = found->second.mNumber;
  Request& request = mRequests.at(number);
  mPeers.OnFailed(found->second.mPeer, aNow);
  if (aFailure == AttemptFailure::NotSent) {
    RestartDelegatedParts(aDelegation, &request, aNow);
  } else {
    FailDelegation(aDelegation, &request, aNow);
  }
  Evaluate(number, aNow);
  return TakeActions();
}

bool
ForwardEngine::IsValidReport(const DelegationReport& aReport,
                             const OpenDelegation& aDelegation,
                             const Request& aRequest)
{
  std::set<std::size_t> named;
  const auto isExpected = [&](std::size_t aIndex) {
    return aDelegation.mParts.contains(aIndex) && named.insert(aIndex).second;
  };
  std::size_t records = 0;
  for (const AnsweredShard& answered : aReport.mAnswered) {
    if (!isExpected(answered.mShardIndex) || answered.mSignature.empty() ||
        answered.mRecords.size() % kRecordBytes != 0) {
      return false;
    }
    records += answered.mRecords.size() / kRecordBytes;
  }
  for (const UnansweredShard& unanswered : aReport.mUnanswered) {
    if (!isExpected(unanswered.mShardIndex)) {
      return false;
    }
  }
  const bool hasFloor =
    aReport.mFloor.empty() || aReport.mFloor.size() == kRecordBytes;
  return hasFloor && records <= aRequest.mShards->mMaximumRecords;
}

void
ForwardEngine::ApplyReport(DelegationNumber aDelegation,
                           const DelegationReport& aReport,
                           Request* aRequest,
                           Instant aNow)
{
  OpenDelegation& open = mDelegations.at(aDelegation);
  const RequestNumber number = open.mNumber;
  const bool isFirstReport = open.mReportDue.has_value();
  for (const AnsweredShard& answered : aReport.mAnswered) {
    open.mParts.erase(answered.mShardIndex);
    std::erase(aRequest->mParts[answered.mShardIndex].mDelegations,
               aDelegation);
    mDomains.OnResponse(open.mDomain);
  }
  AddPeerAnswers(aReport, aRequest, aNow);
  const std::size_t domain = open.mDomain;
  const DelegationUrgency urgency = open.mUrgency;
  std::map<std::size_t, TargetName> notAsked;
  std::vector<std::size_t> late;
  for (const UnansweredShard& unanswered : aReport.mUnanswered) {
    const auto entry = open.mParts.find(unanswered.mShardIndex);
    VERIFY(entry != open.mParts.end());
    Part& part = aRequest->mParts[unanswered.mShardIndex];
    if (unanswered.mState == AttemptState::NotRun &&
        unanswered.mTarget.value().empty()) {
      notAsked.insert(*entry);
      std::erase(part.mDelegations, aDelegation);
      open.mParts.erase(entry);
      continue;
    }
    std::replace(part.mTriedTargets.begin(),
                 part.mTriedTargets.end(),
                 entry->second,
                 unanswered.mTarget);
    entry->second = unanswered.mTarget;
    if (unanswered.mState == AttemptState::Running) {
      if (part.mState == PartState::Running && part.mRunning.empty()) {
        late.push_back(unanswered.mShardIndex);
      }
      continue;
    }
    std::erase(part.mDelegations, aDelegation);
    open.mParts.erase(entry);
    part.mMayHaveRun =
      part.mMayHaveRun || unanswered.mState == AttemptState::Failed;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, unanswered.mShardIndex, aNow);
    }
  }
  // A report of parts that are not asked comes at once and says nothing about
  // how long the others take.
  const bool hasOnlyNotAsked = !notAsked.empty() &&
                               notAsked.size() == aReport.mUnanswered.size() &&
                               aReport.mAnswered.empty();
  if (isFirstReport && (!hasOnlyNotAsked || open.mParts.empty())) {
    open.mReportDue.reset();
    if (!hasOnlyNotAsked) {
      StatisticsOf(*aRequest->mRoute).ObserveDelegation(aNow - open.mSent);
    }
  }
  if (open.mParts.empty()) {
    EndDelegation(aDelegation, aRequest);
  }
  for (const auto& entry : notAsked) {
    Part& part = aRequest->mParts[entry.first];
    part.mDecliningDomains.set(domain);
    part.mUnableDomains.set(domain, urgency == DelegationUrgency::Always);
    TargetRecord* target = mTargets.Find(entry.second);
    if (target != nullptr) {
      target->OnDeclinedByPeer(aNow);
    }
  }
  HedgeParts(number, aRequest, late, aNow);
  RestartParts(number, aRequest, notAsked, aNow);
}

void
ForwardEngine::RestartParts(RequestNumber aNumber,
                            Request* aRequest,
                            const std::map<std::size_t, TargetName>& aParts,
                            Instant aNow)
{
  std::vector<std::size_t> idle;
  for (const auto& entry : aParts) {
    Part& part = aRequest->mParts[entry.first];
    const auto tried = std::find(
      part.mTriedTargets.begin(), part.mTriedTargets.end(), entry.second);
    VERIFY(tried != part.mTriedTargets.end());
    part.mTriedTargets.erase(tried);
    if (part.mState == PartState::Running && part.mRunning.empty() &&
        part.mDelegations.empty()) {
      idle.push_back(entry.first);
    }
  }
  StartParts(aNumber, aRequest, idle, aNow);
}

void
ForwardEngine::AddPeerAnswers(const DelegationReport& aReport,
                              Request* aRequest,
                              Instant aNow)
{
  for (const AnsweredShard& answered : aReport.mAnswered) {
    Part& part = aRequest->mParts[answered.mShardIndex];
    if (part.mState == PartState::Done) {
      continue;
    }
    part.mState = PartState::Done;
    PartReply& reply = part.mReply.emplace();
    reply.mKind = ReplyKind::Answered;
    reply.mSignature = answered.mSignature;
    reply.mBody = answered.mRecords;
    part.mFloor = aReport.mFloor;
    ++aRequest->mSummary.mPartsDone;
    for (const AttemptId superseded : std::exchange(part.mRunning, {})) {
      Abandon(superseded, aNow);
    }
  }
}

std::string
ForwardEngine::RecordFloor(const Request& aRequest)
{
  const std::size_t count = aRequest.mShards->mMaximumRecords;
  std::string floor;
  if (aRequest.mRoute->mRepeatPolicy == RepeatPolicy::Idempotent) {
    // A part whose records turn out to be needed is asked again.
    floor = StatisticsOf(*aRequest.mRoute)
              .RecordFloor()
              .Estimate(aRequest.mParts.size(), count);
  }
  if (aRequest.mSummary.mPartsDone == 0 || count == 0) {
    return floor;
  }
  const std::string merged = MergedRecords(aRequest);
  if (merged.size() == count * kRecordBytes) {
    floor = std::max(floor, merged.substr(merged.size() - kRecordBytes));
  }
  return floor;
}

const NodeName*
ForwardEngine::PeerNear(const Request& aRequest,
                        const Part& aPart,
                        const TargetRecord& aTarget,
                        Instant aNow)
{
  const FailureDomain& domain = aTarget.Listed().mDomain;
  if (mSettings.mGathering == ShardGathering::Direct ||
      aRequest.mShards == nullptr || aRequest.mReportAt.has_value() ||
      domain == mSettings.mDomain ||
      mDomains.IsSuspected(aTarget.DomainIndex(), aNow) ||
      aRequest.mDeadline - aNow <= 2 * kReportReserve) {
    return nullptr;
  }
  // The peer could not tell a target of its domain that has been asked before.
  const bool wasAskedThere =
    std::any_of(aPart.mTriedTargets.begin(),
                aPart.mTriedTargets.end(),
                [&](const TargetName& aName) {
                  const TargetRecord* tried = mTargets.Find(aName);
                  return tried == nullptr || tried->Listed().mDomain == domain;
                });
  const bool isDelegatedThere = std::any_of(
    aPart.mDelegations.begin(),
    aPart.mDelegations.end(),
    [&](DelegationNumber aNumber) {
      return mDelegations.at(aNumber).mDomain == aTarget.DomainIndex();
    });
  return wasAskedThere || isDelegatedThere
           ? nullptr
           : mPeers.Choose(domain, aRequest.mPlan->Version(), aNow);
}

void
ForwardEngine::RestartDelegatedParts(DelegationNumber aDelegation,
                                     Request* aRequest,
                                     Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  RestartParts(number, aRequest, ReclaimParts(aDelegation, aRequest), aNow);
}

void
ForwardEngine::FailDelegation(DelegationNumber aDelegation,
                              Request* aRequest,
                              Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  for (const auto& entry : ReclaimParts(aDelegation, aRequest)) {
    Part& part = aRequest->mParts[entry.first];
    part.mMayHaveRun = true;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, entry.first, aNow);
    }
  }
}

} // namespace verbenachute
