#include <LibForward/ForwardEngine.h>
#include <LibForward/RecordMerger.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

// Shards that peers gather for this node.

namespace verbenachute {

namespace {

// A message to a peer with fewer shards than this costs about as much as
// asking their targets.
constexpr std::size_t kLeastDelegated = 2;
// Part of the caller's time that the peer's answer needs on its way.
constexpr Duration kWayBack = milliseconds(2);

} // namespace

std::vector<const NodeName*>
ForwardEngine::PeersByDomain(const Request& aRequest, Instant aNow) const
{
  // FIXME: A peer in a domain that DomainWatch takes for dark is still asked,
  // until its own silence avoids it.
  std::vector<const NodeName*> peers;
  for (const FailureDomain& domain : mTargets.Domains()) {
    peers.push_back(domain == mSettings.mDomain
                      ? nullptr
                      : mPeers.Choose(domain, aRequest.mPlan->Version(), aNow));
  }
  return peers;
}

std::vector<DomainSet>
ForwardEngine::HoldersElsewhere(const Request& aRequest,
                                const std::vector<const NodeName*>& aPeers,
                                Instant aNow) const
{
  const std::size_t own = mTargets.KnownPlace(mSettings.mDomain);
  DomainSet reachable;
  for (std::size_t place = 0; place < aPeers.size(); ++place) {
    reachable.set(place, aPeers[place] != nullptr);
  }
  std::vector<DomainSet> holders(aRequest.mParts.size());
  for (std::size_t i = 0; reachable.any() && i < holders.size(); ++i) {
    for (const TargetRecord* target :
         mTargets.Of(aRequest.mParts[i].mService)) {
      if (!IsOpen(*target, aRequest.mRequest->mCaller) ||
          target->IsDown(aNow) || target->IsSuspect(aNow)) {
        continue;
      }
      const std::size_t place = target->DomainPlace();
      if (place == own) {
        holders[i].reset();
        break;
      }
      if (place < kMostDomains && reachable.test(place)) {
        holders[i].set(place);
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
        IsOpen(*target, aRequest.mRequest->mCaller)) {
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
      aRequest->mDeadline - aNow <= 2 * kWayBack) {
    return;
  }
  const std::vector<const NodeName*> peers = PeersByDomain(*aRequest, aNow);
  for (const DomainShards& shards :
       CoverShards(HoldersElsewhere(*aRequest, peers, aNow), kLeastDelegated)) {
    const FailureDomain& domain = mTargets.Domains()[shards.mDomain];
    const NodeName* peer = peers[shards.mDomain];
    VERIFY(peer != nullptr);
    const DelegationNumber number(mNextDelegation++);
    OpenDelegation& open = mDelegations[number];
    open.mNumber = aNumber;
    open.mPeer = *peer;
    open.mDomain = shards.mDomain;
    open.mSent = aNow;
    open.mPatienceEnds =
      aNow + StatisticsOf(*aRequest->mRoute).DelegationPatience();
    for (const std::size_t place : shards.mPlaces) {
      Part& part = aRequest->mParts[place];
      VERIFY(part.mPlace == place);
      open.mParts.insert(place);
      part.mState = PartState::Running;
      part.mDelegation = number;
      part.mTried.push_back(PresumedTarget(*aRequest, part, domain, aNow));
    }
    mPeers.OnSent(open.mPeer);
    aRequest->mDelegations.push_back(number);
    aRequest->mSummary.mDelegated +=
      static_cast<std::uint32_t>(shards.mPlaces.size());
    aRequest->mSummary.mPeers +=
      (aRequest->mSummary.mPeers.empty() ? "" : " ") + open.mPeer.value();
    mActions.push_back(DelegateAction{
      number,
      open.mPeer,
      DelegatedOrder{ aRequest->mRequest,
                      aRequest->mPlan->Version(),
                      shards.mPlaces,
                      aRequest->mDeadline - aNow - kWayBack } });
  }
}

void
ForwardEngine::EndDelegation(DelegationNumber aDelegation, Request* aRequest)
{
  const auto found = mDelegations.find(aDelegation);
  VERIFY(found != mDelegations.end());
  mPeers.OnEnded(found->second.mPeer);
  std::erase(aRequest->mDelegations, aDelegation);
  mDelegations.erase(found);
}

std::set<std::size_t>
ForwardEngine::TakeBack(DelegationNumber aDelegation, Request* aRequest)
{
  std::set<std::size_t> parts = std::move(mDelegations.at(aDelegation).mParts);
  for (const std::size_t place : parts) {
    aRequest->mParts[place].mDelegation.reset();
  }
  EndDelegation(aDelegation, aRequest);
  return parts;
}

void
ForwardEngine::RecallAll(Request* aRequest, RecallReason aReason)
{
  for (const DelegationNumber delegation :
       std::exchange(aRequest->mDelegations, {})) {
    mActions.push_back(RecallAction{ delegation, aReason });
    EndDelegation(delegation, aRequest);
  }
}

void
ForwardEngine::LosePatience(DelegationNumber aDelegation,
                            Request* aRequest,
                            Instant aNow)
{
  OpenDelegation& open = mDelegations.at(aDelegation);
  if (!open.mPatienceEnds.has_value() || aNow < *open.mPatienceEnds) {
    return;
  }
  open.mPatienceEnds.reset();
  StatisticsOf(*aRequest->mRoute).ObserveDelegation(aNow - open.mSent);
  mPeers.OnFailed(open.mPeer, aNow);
  for (const std::size_t place : open.mParts) {
    if (aRequest->mParts[place].mState == PartState::Running) {
      HedgePart(open.mNumber, aRequest, place, aNow);
    }
  }
}

ForwardActions
ForwardEngine::OnDelegationAnswer(DelegationNumber aDelegation,
                                  const DelegationAnswer& aAnswer,
                                  Instant aNow)
{
  const auto found = mDelegations.find(aDelegation);
  if (found == mDelegations.end()) {
    return {};
  }
  const RequestNumber number = found->second.mNumber;
  Request& request = mRequests.at(number);
  const DelegationReport* report = std::get_if<DelegationReport>(&aAnswer);
  if (report == nullptr) {
    mPeers.OnFailed(found->second.mPeer, aNow);
    UndoDelegation(aDelegation, &request, aNow);
  } else if (!IsSound(*report, found->second, request)) {
    mPeers.OnFailed(found->second.mPeer, aNow);
    mActions.push_back(RecallAction{ aDelegation, RecallReason::Settled });
    LoseDelegation(aDelegation, &request, aNow);
  } else {
    mPeers.OnAnswered(found->second.mPeer);
    TakeReport(aDelegation, *report, &request, aNow);
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
    UndoDelegation(aDelegation, &request, aNow);
  } else {
    LoseDelegation(aDelegation, &request, aNow);
  }
  Evaluate(number, aNow);
  return TakeActions();
}

bool
ForwardEngine::IsSound(const DelegationReport& aReport,
                       const OpenDelegation& aDelegation,
                       const Request& aRequest)
{
  std::set<std::size_t> named;
  const auto isNew = [&](std::size_t aPlace) {
    return aDelegation.mParts.contains(aPlace) && named.insert(aPlace).second;
  };
  for (const AnsweredPlace& answered : aReport.mAnswered) {
    if (!isNew(answered.mPlace) || answered.mSignature.empty()) {
      return false;
    }
  }
  for (const UnansweredPlace& unanswered : aReport.mUnanswered) {
    if (!isNew(unanswered.mPlace)) {
      return false;
    }
  }
  const std::size_t bytes = aReport.mRecords.size();
  return bytes % kRecordBytes == 0 &&
         bytes / kRecordBytes <= aRequest.mShards->mGreatest &&
         (bytes == 0 || !aReport.mAnswered.empty());
}

void
ForwardEngine::TakeReport(DelegationNumber aDelegation,
                          const DelegationReport& aReport,
                          Request* aRequest,
                          Instant aNow)
{
  OpenDelegation& open = mDelegations.at(aDelegation);
  const RequestNumber number = open.mNumber;
  if (open.mPatienceEnds.has_value()) {
    open.mPatienceEnds.reset();
    StatisticsOf(*aRequest->mRoute).ObserveDelegation(aNow - open.mSent);
  }
  for (const AnsweredPlace& answered : aReport.mAnswered) {
    open.mParts.erase(answered.mPlace);
    aRequest->mParts[answered.mPlace].mDelegation.reset();
    mDomains.OnHeard(open.mDomain);
  }
  TakeBlock(aReport, aRequest, aNow);
  for (const UnansweredPlace& unanswered : aReport.mUnanswered) {
    Part& part = aRequest->mParts[unanswered.mPlace];
    // What the peer has asked takes the place of what was presumed.
    VERIFY(!part.mTried.empty());
    part.mTried.front() = unanswered.mTarget;
    if (unanswered.mState == AttemptState::Running) {
      if (part.mState == PartState::Running && part.mRunning.empty()) {
        HedgePart(number, aRequest, unanswered.mPlace, aNow);
      }
      continue;
    }
    open.mParts.erase(unanswered.mPlace);
    part.mDelegation.reset();
    const bool none = unanswered.mTarget.value().empty();
    if (none && unanswered.mState == AttemptState::NotRun) {
      StartAgain(number, aRequest, unanswered.mPlace, aNow);
      continue;
    }
    part.mMayHaveRun =
      part.mMayHaveRun || unanswered.mState == AttemptState::Failed;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, unanswered.mPlace, aNow);
    }
  }
  if (open.mParts.empty()) {
    EndDelegation(aDelegation, aRequest);
  }
}

void
ForwardEngine::StartAgain(RequestNumber aNumber,
                          Request* aRequest,
                          std::size_t aPart,
                          Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  VERIFY(!part.mTried.empty());
  part.mTried.erase(part.mTried.begin());
  if (part.mState == PartState::Running && part.mRunning.empty()) {
    StartPart(aNumber, aRequest, aPart, aNow);
  }
}

void
ForwardEngine::TakeBlock(const DelegationReport& aReport,
                         Request* aRequest,
                         Instant aNow)
{
  const bool gains = std::any_of(
    aReport.mAnswered.begin(),
    aReport.mAnswered.end(),
    [&](const AnsweredPlace& aAnswered) {
      return aRequest->mParts[aAnswered.mPlace].mState != PartState::Done;
    });
  if (!gains) {
    return;
  }
  AnswerBlock& block = aRequest->mBlocks.emplace_back();
  block.mRecords = aReport.mRecords;
  for (const AnsweredPlace& answered : aReport.mAnswered) {
    Part& part = aRequest->mParts[answered.mPlace];
    VERIFY(!part.mBlock.has_value());
    if (part.mState != PartState::Done) {
      ++aRequest->mSummary.mPartsDone;
    }
    // An answer that this node has got as well gives way: the records of the
    // block can not be told apart.
    part.mState = PartState::Done;
    part.mReply.reset();
    part.mBlock = aRequest->mBlocks.size() - 1;
    block.mSignatures.push_back(answered.mSignature);
    for (const AttemptId loser : std::exchange(part.mRunning, {})) {
      Abandon(loser, aNow);
    }
  }
}

void
ForwardEngine::UndoDelegation(DelegationNumber aDelegation,
                              Request* aRequest,
                              Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  for (const std::size_t place : TakeBack(aDelegation, aRequest)) {
    StartAgain(number, aRequest, place, aNow);
  }
}

void
ForwardEngine::LoseDelegation(DelegationNumber aDelegation,
                              Request* aRequest,
                              Instant aNow)
{
  const RequestNumber number = mDelegations.at(aDelegation).mNumber;
  for (const std::size_t place : TakeBack(aDelegation, aRequest)) {
    Part& part = aRequest->mParts[place];
    part.mMayHaveRun = true;
    if (part.mState == PartState::Running) {
      RetryPart(number, aRequest, place, aNow);
    }
  }
}

} // namespace verbenachute
