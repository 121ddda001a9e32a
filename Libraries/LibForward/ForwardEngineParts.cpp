#include <LibForward/ForwardEngine.h>

#include <LibCore/RendezvousHash.h>
#include <LibCore/Verify.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

// Random factor on expected latencies: targets that differ by less than this
// share may be chosen in any order, so that nodes with the same information do
// not all choose the same target.
constexpr double kChoiceNoise = 0.12;
// Cost factor that ranks suspect targets after all others.
constexpr double kSuspectCostFactor = 1000;
// Share of a target's connections that is divided between the known nodes. The
// remainder is reserved for nodes that are just joining.
constexpr double kUsableConnectionShare = 0.95;
// An attempt with less time until the deadline can not be answered in time.
constexpr Duration kMinimumTimeLeft = milliseconds(1);

} // namespace

bool
ForwardEngine::MayServe(const TargetRecord& aTarget,
                        const CallerId& aCaller,
                        const std::string& aRoute) const
{
  return aTarget.Listed().mAvailability == TargetAvailability::Ready &&
         !aTarget.Gate().IsLeaving() &&
         VersionRankOf(aTarget, aRoute) != VersionRank::Excluded &&
         mAdmissionFilter(aTarget.Listed(), aCaller);
}

VersionRank
ForwardEngine::VersionRankOf(const TargetRecord& aTarget,
                             const std::string& aRoute) const
{
  return mVersionPolicy == nullptr
           ? VersionRank::Preferred
           : mVersionPolicy->RankOf(aTarget.Listed(), aRoute);
}

void
ForwardEngine::EndAttempt(AttemptId aAttempt, AttemptEnd aEnd, Instant aNow)
{
  if (mVersionPolicy != nullptr) {
    mVersionPolicy->OnEnded(aAttempt, aEnd, aNow);
  }
}

std::uint32_t
ForwardEngine::ConnectionShare(const ServiceSettings* aServiceSettings) const
{
  if (aServiceSettings == nullptr || !mServesCallers) {
    return 1;
  }
  const double share = kUsableConnectionShare *
                       aServiceSettings->mMaximumConnections /
                       static_cast<double>(mNodes.size());
  return std::max(1U, static_cast<std::uint32_t>(share));
}

bool
ForwardEngine::MayConnect(const ServiceName& aService,
                          std::size_t aIndex,
                          std::size_t aTargets,
                          const ServiceSettings* aServiceSettings) const
{
  if (aServiceSettings == nullptr || !mServesCallers) {
    return true;
  }
  const double share = kUsableConnectionShare *
                       aServiceSettings->mMaximumConnections /
                       static_cast<double>(mNodes.size());
  if (share >= 1) {
    return true;
  }
  // There are more nodes than connections. Each node uses a contiguous range of
  // the targets, taken as a ring, that starts at an index of its own, so that
  // all targets get the same number of nodes.
  const std::size_t used = std::max<std::size_t>(
    1, static_cast<std::size_t>(share * static_cast<double>(aTargets)));
  const std::size_t start =
    (mNodeIndex + StableHash(aService.value())) % aTargets;
  return (aIndex + aTargets - start) % aTargets < used;
}

std::size_t
ForwardEngine::NodesBefore(const TargetRecord& aTarget) const
{
  const std::string& name = aTarget.Listed().mName.value();
  const std::uint64_t own = RendezvousWeight(name, mSelf.value());
  return static_cast<std::size_t>(
    std::count_if(mNodes.begin(), mNodes.end(), [&](const NodeName& aNode) {
      return RendezvousWeight(name, aNode.value()) > own;
    }));
}

bool
ForwardEngine::LimitsColdTargets(const ServiceSettings* aServiceSettings)
{
  return aServiceSettings != nullptr && aServiceSettings->mColdRate > 0;
}

std::optional<RateShare>
ForwardEngine::ColdShareOf(const TargetRecord& aTarget,
                           const ServiceSettings* aServiceSettings,
                           Instant aNow) const
{
  if (!LimitsColdTargets(aServiceSettings)) {
    return std::nullopt;
  }
  const double rate = aServiceSettings->mColdRate;
  const auto share = [&]() {
    return TargetGate::ColdShare(
      rate, [&]() { return NodesBefore(aTarget); }, mNodes.size());
  };
  if (aTarget.IsCold(aNow)) {
    return share();
  }
  const RestartDoubt& doubt = aTarget.Doubt();
  if (!doubt.MayBeCold(aServiceSettings->mWarmup, aNow)) {
    return std::nullopt;
  }
  const RateShare own = share();
  if (own.mPerSecond > 0 || !doubt.IsUntested()) {
    return own;
  }
  // If the list stays unknown, the nodes without a share test the target one
  // after the other.
  const std::chrono::duration<double> turn(
    static_cast<double>(NodesBefore(aTarget)) / rate);
  const Instant testAt = doubt.Since() + aServiceSettings->mWarmup +
                         std::chrono::duration_cast<Duration>(turn);
  return aNow < testAt ? std::optional(own) : std::nullopt;
}

TargetRateShares
ForwardEngine::RateSharesOf(const TargetRecord& aTarget,
                            const ServiceSettings* aServiceSettings,
                            Instant aNow) const
{
  TargetRateShares shares;
  shares.mCold = ColdShareOf(aTarget, aServiceSettings, aNow);
  const std::optional<double>& namedRate = aTarget.Gate().NamedRate();
  if (namedRate.has_value()) {
    shares.mNamed = TargetGate::NamedShare(
      *namedRate, [&]() { return NodesBefore(aTarget); }, mNodes.size());
  }
  return shares;
}

bool
ForwardEngine::HasFreeConnection(const TargetRecord& aTarget,
                                 const ServiceSettings* aServiceSettings,
                                 bool aIsSuspect) const
{
  const bool isUntested =
    aTarget.Doubt().IsUntested() && LimitsColdTargets(aServiceSettings);
  const std::size_t limit =
    aIsSuspect || isUntested ? 1 : ConnectionShare(aServiceSettings);
  return aTarget.InFlight() < limit;
}

Instant
ForwardEngine::HoldLimit(const Request& aRequest, Instant aNow)
{
  return aRequest.mShards != nullptr && aNow < aRequest.mPartialAnswerAt
           ? std::min(aRequest.mWaitUntil, aRequest.mPartialAnswerAt)
           : aRequest.mWaitUntil;
}

bool
ForwardEngine::TakeExtraAttempt(const ServiceName& aService,
                                AttemptPurpose aPurpose,
                                Instant aNow)
{
  return mServesCallers &&
         StateOf(aService).mBudget->TryAcquire(aPurpose, mNodes.size(), aNow);
}

bool
ForwardEngine::HasTimeLeft(const Request& aRequest, Instant aNow)
{
  return aRequest.mDeadline - aNow >= kMinimumTimeLeft;
}

ForwardEngine::Choice
ForwardEngine::ChooseTarget(const Request& aRequest,
                            const Part& aPart,
                            TargetScope aScope,
                            AttemptPurpose aPurpose,
                            Instant aNow)
{
  const ServiceSettings* serviceSettings =
    aRequest.mPlan->FindService(aPart.mService);
  const Duration medianLatency = StatisticsOf(*aRequest.mRoute).MedianLatency();
  std::uniform_real_distribution<double> noise(1, 1 + kChoiceNoise);
  Choice choice;
  double best = 0;
  VersionRank bestRank = VersionRank::Excluded;
  const std::vector<TargetRecord*>& targets = mTargets.Of(aPart.mService);
  for (std::size_t index = 0; index < targets.size(); ++index) {
    TargetRecord* target = targets[index];
    const TargetName& name = target->Listed().mName;
    const bool tried =
      std::find(aPart.mTriedTargets.begin(), aPart.mTriedTargets.end(), name) !=
      aPart.mTriedTargets.end();
    const bool inScope = aScope == TargetScope::AllDomains ||
                         target->Listed().mDomain == mSettings.mDomain;
    if (tried || !inScope ||
        !MayServe(
          *target, aRequest.mRequest->mCaller, aRequest.mRoute->mName) ||
        target->IsDown(aNow) ||
        !MayConnect(aPart.mService, index, targets.size(), serviceSettings)) {
      continue;
    }
    const std::size_t domain = target->DomainIndex();
    if (domain < kMaximumDomains && aPart.mUnableDomains.test(domain)) {
      choice.mHasBusyTarget = true;
      continue;
    }
    const bool domainSuspected =
      mDomains.IsSuspected(domain, aNow) && !mDomains.IsProbeDue(domain, aNow);
    const bool suspect = domainSuspected || target->IsSuspect(aNow);
    if (!HasFreeConnection(*target, serviceSettings, suspect)) {
      choice.mHasBusyTarget = true;
      continue;
    }
    const GateDecision gate = target->Gate().Decide(
      RateSharesOf(*target, serviceSettings, aNow), aPurpose, 0, aNow);
    if (!gate.MaySend()) {
      if (gate.mEndsAt.has_value()) {
        choice.mHoldEndsAt =
          std::min(choice.mHoldEndsAt.value_or(*gate.mEndsAt), *gate.mEndsAt);
      }
      continue;
    }
    double cost =
      static_cast<double>(target->ExpectedLatency(medianLatency, aNow).count());
    if (suspect) {
      cost *= kSuspectCostFactor;
    }
    if (target->Listed().mDomain != mSettings.mDomain) {
      cost += static_cast<double>(mSettings.mCrossDomainCost.count());
    }
    cost *= noise(mRandom);
    const VersionRank rank = VersionRankOf(*target, aRequest.mRoute->mName);
    if (choice.mTarget != nullptr &&
        (rank < bestRank || (rank == bestRank && cost >= best))) {
      continue;
    }
    choice.mTarget = target;
    bestRank = rank;
    best = cost;
  }
  return choice;
}

void
ForwardEngine::RecordUnresponsiveTargets(const Part& aPart, Instant aNow)
{
  for (const AttemptId attempt : aPart.mRunning) {
    const TargetName& name = mAttempts.at(attempt).mTarget;
    const TargetRecord* target = mTargets.Find(name);
    if (target != nullptr) {
      mDomains.OnNoResponse(target->DomainIndex(), name, aNow);
    }
  }
}

TargetRecord*
ForwardEngine::ChooseFirstTarget(RequestNumber aNumber,
                                 Request* aRequest,
                                 std::size_t aPart,
                                 Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  const Choice choice = ChooseTarget(
    *aRequest, part, TargetScope::AllDomains, AttemptPurpose::First, aNow);
  if (choice.mTarget != nullptr) {
    return choice.mTarget;
  }
  WaitForTarget(aNumber, aRequest, aPart, choice, aNow);
  return nullptr;
}

void
ForwardEngine::WaitForTarget(RequestNumber aNumber,
                             Request* aRequest,
                             std::size_t aPart,
                             const Choice& aChoice,
                             Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  const bool holdEndsInTime = aChoice.mHoldEndsAt.has_value() &&
                              *aChoice.mHoldEndsAt < HoldLimit(*aRequest, aNow);
  if ((!aChoice.mHasBusyTarget && !holdEndsInTime) ||
      aNow >= aRequest->mWaitUntil) {
    part.mState = PartState::Failed;
    return;
  }
  part.mState = PartState::Waiting;
  part.mRetryAt.reset();
  if (part.mUnableDomains.any()) {
    part.mRetryDelay = std::max(StatisticsOf(*aRequest->mRoute).TailLatency(),
                                2 * part.mRetryDelay);
    part.mRetryAt = aNow + part.mRetryDelay;
  }
  if (holdEndsInTime) {
    part.mRetryAt = std::min(part.mRetryAt.value_or(*aChoice.mHoldEndsAt),
                             *aChoice.mHoldEndsAt);
  }
  if (!part.mIsQueued) {
    part.mIsQueued = true;
    StateOf(part.mService).mWaiting.emplace_back(aNumber, aPart);
  }
}

void
ForwardEngine::SendOrBatch(RequestNumber aNumber,
                           Request* aRequest,
                           std::size_t aPart,
                           TargetRecord* aTarget,
                           AttemptPurpose aPurpose,
                           PeerBatches* aBatches,
                           Instant aNow)
{
  const NodeName* peer =
    PeerNear(*aRequest, aRequest->mParts[aPart], *aTarget, aNow);
  if (peer == nullptr) {
    Send(aNumber, aRequest, aPart, aTarget, aPurpose, aNow);
    return;
  }
  BeginProbes(aTarget, aNow);
  PeerBatch& batch = (*aBatches)[aTarget->DomainIndex()];
  batch.mPeer = *peer;
  batch.mParts.push_back(aPart);
}

void
ForwardEngine::DelegateBatches(RequestNumber aNumber,
                               Request* aRequest,
                               const PeerBatches& aBatches,
                               Instant aNow)
{
  for (const auto& entry : aBatches) {
    Delegate(aNumber,
             aRequest,
             DomainShards{ entry.first, entry.second.mParts },
             entry.second.mPeer,
             DelegationUrgency::Always,
             aNow);
  }
}

Duration
ForwardEngine::HedgeDelay(const Request& aRequest,
                          const Part& aPart,
                          Instant aNow)
{
  const Duration tailLatency = StatisticsOf(*aRequest.mRoute).TailLatency();
  const std::vector<TargetRecord*>& targets = mTargets.Of(aPart.mService);
  const bool hasLocalTarget = std::any_of(
    targets.begin(), targets.end(), [&](const TargetRecord* aTarget) {
      return aTarget->Listed().mDomain == mSettings.mDomain &&
             !aTarget->IsDown(aNow) &&
             std::find(aPart.mTriedTargets.begin(),
                       aPart.mTriedTargets.end(),
                       aTarget->Listed().mName) == aPart.mTriedTargets.end();
    });
  const double crossDomainDelay =
    mSettings.mCrossDomainHedgeShare *
    static_cast<double>(aRequest.mRoute->mLatencyObjective.count());
  return hasLocalTarget
           ? tailLatency
           : std::max(tailLatency,
                      Duration(static_cast<Duration::rep>(crossDomainDelay)));
}

void
ForwardEngine::BeginProbes(TargetRecord* aTarget, Instant aNow)
{
  aTarget->BeginProbe(aNow);
  if (mDomains.IsSuspected(aTarget->DomainIndex(), aNow)) {
    mDomains.BeginProbe(aTarget->DomainIndex(), aNow);
  }
}

void
ForwardEngine::Send(RequestNumber aNumber,
                    Request* aRequest,
                    std::size_t aPart,
                    TargetRecord* aTarget,
                    AttemptPurpose aPurpose,
                    Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  VERIFY(part.mTriedTargets.size() < aRequest->mMaximumAttempts);
  VERIFY(part.mTriedTargets.empty() || !part.mMayHaveRun ||
         aRequest->mRoute->mRepeatPolicy == RepeatPolicy::Idempotent);
  const Route& route = *aRequest->mRoute;
  const AttemptId id(mNextAttempt++);
  const ListedTarget& listed = aTarget->Listed();
  const Duration tailLatency = StatisticsOf(route).TailLatency();
  part.mState = PartState::Running;
  part.mRunning.push_back(id);
  part.mTriedTargets.push_back(listed.mName);
  const bool mayHedge = mSettings.mHedging == ForwardHedging::Adaptive &&
                        route.mRepeatPolicy == RepeatPolicy::Idempotent &&
                        part.mTriedTargets.size() < aRequest->mMaximumAttempts;
  part.mHedgeAt.reset();
  if (mayHedge) {
    part.mHedgeAt = aNow + HedgeDelay(*aRequest, part, aNow);
  }
  mAttempts.emplace(id,
                    Attempt{ aNumber,
                             aPart,
                             listed.mName,
                             listed.mStartTime,
                             aNow,
                             route.mName,
                             false });
  if (mVersionPolicy != nullptr) {
    mVersionPolicy->OnSent(
      id, listed, route.mName, aTarget->IsCold(aNow), aNow);
  }
  BeginProbes(aTarget, aNow);
  const ServiceSettings* serviceSettings =
    aRequest->mPlan->FindService(part.mService);
  TargetRateShares shares = RateSharesOf(*aTarget, serviceSettings, aNow);
  if (aTarget->Doubt().IsUntested() && LimitsColdTargets(serviceSettings)) {
    // It counts, as the target may turn out to be cold.
    shares.mCold = shares.mCold.value_or(RateShare());
  }
  aTarget->Gate().OnSent(shares, aNow);
  aTarget->OnSent(id, tailLatency, aNow);
  ++aRequest->mSummary.mAttempts;
  mActions.push_back(SendAction{ id,
                                 listed.mName,
                                 listed.mAddress,
                                 aRequest->mRequest,
                                 aRequest->mDeadline - aNow,
                                 ConnectionShare(serviceSettings),
                                 aPurpose,
                                 listed.mDomain != mSettings.mDomain });
}

void
ForwardEngine::HedgeParts(RequestNumber aNumber,
                          Request* aRequest,
                          const std::vector<std::size_t>& aParts,
                          Instant aNow)
{
  if (mPoison.IsPoisonous(aRequest->mFingerprint, aNow)) {
    return;
  }
  PeerBatches batches;
  for (const std::size_t index : aParts) {
    Part& part = aRequest->mParts[index];
    if (part.mTriedTargets.size() >= aRequest->mMaximumAttempts ||
        !HasTimeLeft(*aRequest, aNow)) {
      continue;
    }
    const Choice choice = ChooseTarget(
      *aRequest, part, TargetScope::AllDomains, AttemptPurpose::Hedge, aNow);
    if (choice.mTarget == nullptr || choice.mTarget->IsStalled(aNow)) {
      continue;
    }
    if (!TakeExtraAttempt(part.mService, AttemptPurpose::Hedge, aNow)) {
      ++aRequest->mSummary.mOverBudget;
      continue;
    }
    ++aRequest->mSummary.mHedges;
    SendOrBatch(aNumber,
                aRequest,
                index,
                choice.mTarget,
                AttemptPurpose::Hedge,
                &batches,
                aNow);
  }
  DelegateBatches(aNumber, aRequest, batches, aNow);
}

void
ForwardEngine::RetryPart(RequestNumber aNumber,
                         Request* aRequest,
                         std::size_t aPart,
                         Instant aNow)
{
  Part& part = aRequest->mParts[aPart];
  if (!part.mRunning.empty() || !part.mDelegations.empty()) {
    return;
  }
  const bool mayRepeat = !part.mMayHaveRun || aRequest->mRoute->mRepeatPolicy ==
                                                RepeatPolicy::Idempotent;
  if (!mayRepeat || !HasTimeLeft(*aRequest, aNow) ||
      mPoison.IsPoisonous(aRequest->mFingerprint, aNow) ||
      part.mTriedTargets.size() >= aRequest->mMaximumAttempts) {
    part.mState = PartState::Failed;
    return;
  }
  const Choice choice = ChooseTarget(
    *aRequest, part, TargetScope::AllDomains, AttemptPurpose::Retry, aNow);
  if (choice.mTarget == nullptr) {
    WaitForTarget(aNumber, aRequest, aPart, choice, aNow);
    return;
  }
  if (!TakeExtraAttempt(part.mService, AttemptPurpose::Retry, aNow)) {
    ++aRequest->mSummary.mOverBudget;
    part.mState = PartState::Failed;
    return;
  }
  ++aRequest->mSummary.mRetries;
  Send(aNumber, aRequest, aPart, choice.mTarget, AttemptPurpose::Retry, aNow);
}

void
ForwardEngine::RestartWaitingPart(RequestNumber aNumber,
                                  Request* aRequest,
                                  std::size_t aPart,
                                  Instant aNow)
{
  if (aRequest->mParts[aPart].mTriedTargets.empty()) {
    StartParts(aNumber, aRequest, { aPart }, aNow);
  } else {
    RetryPart(aNumber, aRequest, aPart, aNow);
  }
}

void
ForwardEngine::StartWaitingParts(const ServiceName& aService, Instant aNow)
{
  const auto found = mServices.find(aService);
  if (found == mServices.end()) {
    return;
  }
  std::deque<std::pair<RequestNumber, std::size_t>>& waiting =
    found->second.mWaiting;
  // A part that has to wait again is appended.
  for (std::size_t left = waiting.size(); left > 0; --left) {
    const std::pair<RequestNumber, std::size_t> next = waiting.front();
    const auto request = mRequests.find(next.first);
    if (request == mRequests.end()) {
      waiting.pop_front();
      continue;
    }
    Part& part = request->second.mParts[next.second];
    const bool isWaiting = part.mState == PartState::Waiting;
    if (isWaiting && ChooseTarget(request->second,
                                  part,
                                  TargetScope::AllDomains,
                                  AttemptPurpose::First,
                                  aNow)
                         .mTarget == nullptr) {
      return;
    }
    waiting.pop_front();
    part.mIsQueued = false;
    // Without time left, the timer of the request ends it.
    if (isWaiting && HasTimeLeft(request->second, aNow)) {
      RestartWaitingPart(next.first, &request->second, next.second, aNow);
      Evaluate(next.first, aNow);
    }
  }
}

} // namespace verbenachute
