#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// Delegations of this node to peers.

namespace verbenachute {

namespace {

// Minimum number of shards for a delegation. With fewer, the message to the
// peer costs about as much as asking the targets directly.
constexpr std::size_t kMinimumDelegatedShards = 2;
// Part of the remaining time that is reserved for the peer's report on its way
// back.
constexpr Duration kReportReserve = milliseconds(2);

} // namespace

std::vector<const NodeName*>
ForwardEngine::PeersByDomain(const Request& aRequest, Instant aNow) const
{
  // FIXME: A peer in a domain that DomainReachability suspects is still
  // used, until it is avoided because it did not answer itself.
  std::vector<const NodeName*> peers;
  for (const FailureDomain& domain : mTargets.Domains()) {
    peers.push_back(domain == mSettings.mDomain
                      ? nullptr
                      : mPeers.Choose(domain, aRequest.mPlan->Version(), aNow));
  }
  return peers;
}

std::vector<DomainSet>
ForwardEngine::RemoteHolders(const Request& aRequest,
                             const std::vector<const NodeName*>& aPeers,
                             Instant aNow) const
{
  const std::size_t own = mTargets.FindDomainIndex(mSettings.mDomain);
  DomainSet reachable;
  for (std::size_t index = 0; index < aPeers.size(); ++index) {
    reachable.set(index, aPeers[index] != nullptr);
  }
  std::vector<DomainSet> holders(aRequest.mParts.size());
  for (std::size_t i = 0; reachable.any() && i < holders.size(); ++i) {
    for (const TargetRecord* target :
         mTargets.Of(aRequest.mParts[i].mService)) {
      if (!MayServe(*target, aRequest.mRequest->mCaller) ||
          target->IsDown(aNow) || target->IsSuspect(aNow)) {
        continue;
      }
      const std::size_t index = target->DomainIndex();
      if (index == own) {
        holders[i].reset();
        break;
      }
      if (index < kMaximumDomains && reachable.test(index)) {
        holders[i].set(index);
      }
    }
  }
  return holders;
}

TargetName
ForwardEngine::PresumedTarget(const Request& aRequest,
                              const Part& aPart,
                              const FailureDomain& aDomain,
                              Instant aNow) const
{
  for (const TargetRecord* target : mTargets.Of(aPart.mService)) {
    if (target->Listed().mDomain == aDomain && !target->IsDown(aNow) &&
        MayServe(*target, aRequest.mRequest->mCaller)) {
      return target->Listed().mName;
    }
  }
  return TargetName();
}

void
ForwardEngine::DelegateParts(RequestNumber aNumber,
                             Request* aRequest,
                             Instant aNow)
{
  if (mSettings.mGathering == ShardGathering::Direct ||
      aRequest->mShards == nullptr ||
      aRequest->mDeadline - aNow <= 2 * kReportReserve) {
    return;
  }
  const std::vector<const NodeName*> peers = PeersByDomain(*aRequest, aNow);
  for (const DomainShards& shards : CoverShards(
         RemoteHolders(*aRequest, peers, aNow), kMinimumDelegatedShards)) {
    const FailureDomain& domain = mTargets.Domains()[shards.mDomain];
    const NodeName* peer = peers[shards.mDomain];
    VERIFY(peer != nullptr);
    const DelegationNumber number(mNextDelegation++);
    OpenDelegation& open = mDelegations[number];
    open.mNumber = aNumber;
    open.mPeer = *peer;
    open.mDomain = shards.mDomain;
    open.mSent = aNow;
    open.mReportDue =
      aNow + StatisticsOf(*aRequest->mRoute).DelegationTimeout();
    for (const std::size_t index : shards.mShardIndexes) {
      Part& part = aRequest->mParts[index];
      VERIFY(part.mShardIndex == index);
      open.mParts.insert(index);
      part.mState = PartState::Running;
      part.mDelegation = number;
      part.mTriedTargets.push_back(
        PresumedTarget(*aRequest, part, domain, aNow));
    }
    mPeers.OnSent(open.mPeer);
    aRequest->mDelegations.push_back(number);
    aRequest->mSummary.mDelegatedParts +=
      static_cast<std::uint32_t>(shards.mShardIndexes.size());
    aRequest->mSummary.mPeerNames +=
      (aRequest->mSummary.mPeerNames.empty() ? "" : " ") + open.mPeer.value();
    mActions.push_back(DelegateAction{
      number,
      open.mPeer,
      DelegationRequest{ aRequest->mRequest,
                         aRequest->mPlan->Version(),
                         shards.mShardIndexes,
                         aRequest->mDeadline - aNow - kReportReserve } });
  }
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

std::set<std::size_t>
ForwardEngine::ReclaimParts(DelegationNumber aDelegation, Request* aRequest)
{
  std::set<std::size_t> parts = std::move(mDelegations.at(aDelegation).mParts);
  for (const std::size_t index : parts) {
    aRequest->mParts[index].mDelegation.reset();
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
  for (const std::size_t index : open.mParts) {
    if (aRequest->mParts[index].mState == PartState::Running) {
      HedgePart(open.mNumber, aRequest, index, aNow);
    }
  }
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
  for (const AnsweredShard& answered : aReport.mAnswered) {
    if (!isExpected(answered.mShardIndex) || answered.mSignature.empty()) {
      return false;
    }
  }
  for (const UnansweredShard& unanswered : aReport.mUnanswered) {
    if (!isExpected(unanswered.mShardIndex)) {
      return false;
    }
  }
  const std::size_t bytes = aReport.mRecords.size();
  return bytes % kRecordBytes == 0 &&
         bytes / kRecordBytes <= aRequest.mShards->mMaximumRecords &&
         (bytes == 0 || !aReport.mAnswered.empty());
}

void
ForwardEngine::ApplyReport(DelegationNumber aDelegation,
                           const DelegationReport& aReport,
                           Request* aRequest,
                           Instant aNow)
{
  OpenDelegation& open = mDelegations.at(aDelegation);
  const RequestNumber number = open.mNumber;
  if (open.mReportDue.has_value()) {
    open.mReportDue.reset();
    StatisticsOf(*aRequest->mRoute).ObserveDelegation(aNow - open.mSent);
  }
  for (const AnsweredShard& answered : aReport.mAnswered) {
    open.mParts.erase(answered.mShardIndex);
    aRequest->mParts[answered.mShardIndex].mDelegation.reset();
    mDomains.OnResponse(open.mDomain);
  }
  AddPeerAnswer(aReport, aRequest, aNow);
  for (const UnansweredShard& unanswered : aReport.mUnanswered) {
    Part& part = aRequest->mParts[unanswered.mShardIndex];
    // Replaces the presumed target by the one that the peer has asked.
    VERIFY(!part.mTriedTargets.empty());
    part.mTriedTargets.front() = unanswered.mTarget;
    if (unanswered.mState == AttemptState::Running) {
      if (part.mState == PartState::Running && part.mRunning.empty()) {
        HedgePart(number, aRequest, unanswered.mShardIndex, aNow);
      }
      continue;
    }
    open.mParts.erase(unanswered.mShardIndex);
    part.mDelegation.reset();
    const bool noTargetAsked = unanswered.mTarget.value().empty();
    if (noTargetAsked && unanswered.mState == AttemptState::NotRun) {
      RestartPart(number, aRequest, unanswered.mShardIndex, aNow);
      continue;
    }
    part.mMayHaveRun =
      part.mMayHaveRun || unanswered.mState == AttemptState::Failed;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, unanswered.mShardIndex, aNow);
    }
  }
  if (open.mParts.empty()) {
    EndDelegation(aDelegation, aRequest);
  }
}

void
ForwardEngine::RestartPart(RequestNumber aNumber,
                           Request* aRequest,
                           std::size_t aPart,
                           Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  VERIFY(!part.mTriedTargets.empty());
  part.mTriedTargets.erase(part.mTriedTargets.begin());
  if (part.mState == PartState::Running && part.mRunning.empty()) {
    StartPart(aNumber, aRequest, aPart, aNow);
  }
}

void
ForwardEngine::AddPeerAnswer(const DelegationReport& aReport,
                             Request* aRequest,
                             Instant aNow)
{
  const bool addsAnswers = std::any_of(
    aReport.mAnswered.begin(),
    aReport.mAnswered.end(),
    [&](const AnsweredShard& aAnswered) {
      return aRequest->mParts[aAnswered.mShardIndex].mState != PartState::Done;
    });
  if (!addsAnswers) {
    return;
  }
  PeerAnswer& peerAnswer = aRequest->mPeerAnswers.emplace_back();
  peerAnswer.mRecords = aReport.mRecords;
  for (const AnsweredShard& answered : aReport.mAnswered) {
    Part& part = aRequest->mParts[answered.mShardIndex];
    VERIFY(!part.mPeerAnswerIndex.has_value());
    if (part.mState != PartState::Done) {
      ++aRequest->mSummary.mPartsDone;
    }
    // Replaces an answer that this node has received itself, since the records
    // of a single shard can not be removed from the peer's merged answer.
    part.mState = PartState::Done;
    part.mReply.reset();
    part.mPeerAnswerIndex = aRequest->mPeerAnswers.size() - 1;
    peerAnswer.mSignatures.push_back(answered.mSignature);
    for (const AttemptId superseded : std::exchange(part.mRunning, {})) {
      Abandon(superseded, aNow);
    }
  }
}

void
ForwardEngine::RestartDelegatedParts(DelegationNumber aDelegation,
                                     Request* aRequest,
                                     Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  for (const std::size_t index : ReclaimParts(aDelegation, aRequest)) {
    RestartPart(number, aRequest, index, aNow);
  }
}

void
ForwardEngine::FailDelegation(DelegationNumber aDelegation,
                              Request* aRequest,
                              Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  for (const std::size_t index : ReclaimParts(aDelegation, aRequest)) {
    Part& part = aRequest->mParts[index];
    part.mMayHaveRun = true;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, index, aNow);
    }
  }
}

} // namespace verbenachute
