#include "StoreSimulation.h"

#include <algorithm>
#include <utility>
#include <variant>

namespace verbenachute {

namespace {

constexpr Duration kTick = milliseconds(5);
constexpr Duration kProbeTimeout = milliseconds(1200);
// From a change of a node's position until its peers know.
constexpr Duration kAnnounceDelay = milliseconds(300);
constexpr const char* kConfiguration = "configuration";

Duration
TimeoutOf(const FollowerCall& aAction)
{
  if (const ReadPageAction* read = std::get_if<ReadPageAction>(&aAction)) {
    return read->mTimeout;
  }
  if (const WatchAction* watch = std::get_if<WatchAction>(&aAction)) {
    return watch->mTimeout;
  }
  return kProbeTimeout;
}

StoreFollower::Settings
SettingsOf(std::size_t aNode)
{
  StoreFollower::Settings settings;
  settings.mSelf = NodeName("node-" + std::to_string(aNode));
  return settings;
}

} // namespace

StoreSimulation::StoreSimulation(std::size_t aNodes, std::uint32_t aSeed)
  : mRandom(aSeed)
{
  mRevisions[Instant()] = mRevision;
  Write(kConfiguration, "0");
  for (std::size_t i = 0; i < aNodes; ++i) {
    mNodes.emplace_back(SettingsOf(i));
    mNodes.back().mFollower.SetSource(UpdateSource::Store, mNow);
    // So that the nodes do not probe at the same time.
    Pass(milliseconds(mRandom() % 400));
  }
}

bool
StoreSimulation::IsDisturbed() const
{
  return mAvailability != Availability::Answers || mLossPercent > 0;
}

bool
StoreSimulation::IsInTouch() const
{
  return !IsDisturbed() && mNow - mLastDisturbance >= kContactTime;
}

void
StoreSimulation::SetAvailability(Availability aAvailability)
{
  mLastDisturbance = mNow;
  mAvailability = aAvailability;
  for (Node& node : mNodes) {
    for (std::optional<PendingCall>* call : { &node.mCall, &node.mProbe }) {
      if (call->has_value()) {
        (*call)->mIsLost |= aAvailability == Availability::Silent;
        (*call)->mIsClosed |= aAvailability == Availability::Resets;
      }
    }
  }
}

void
StoreSimulation::CutWatches()
{
  for (Node& node : mNodes) {
    if (node.mCall.has_value() &&
        std::holds_alternative<WatchAction>(node.mCall->mAction)) {
      node.mCall->mIsClosed = true;
    }
  }
}

void
StoreSimulation::Write(const std::string& aKey,
                       std::optional<std::string> aValue)
{
  mRevision = StoreRevision(mRevision.value() + 1);
  mRevisions[mNow] = mRevision;
  if (aValue.has_value()) {
    mItems[aKey] = StoreItem{ aKey, *aValue, mRevision };
  } else {
    mItems.erase(aKey);
  }
  mHistory.push_back(StoreChange{ aKey, std::move(aValue), mRevision });
}

void
StoreSimulation::WriteConfiguration()
{
  Write(kConfiguration, std::to_string(mRevision.value()));
  mConfigurations[mRevision] = mNow;
}

void
StoreSimulation::Register(const std::string& aTarget)
{
  mRunning.insert(aTarget);
  Write(aTarget, "registered");
}

void
StoreSimulation::Remove(const std::string& aTarget)
{
  mRunning.erase(aTarget);
  Write(aTarget, std::nullopt);
  if (IsInTouch()) {
    mRemovals[aTarget] = mNow;
  }
}

void
StoreSimulation::Lapse(const std::string& aTarget)
{
  Write(aTarget, std::nullopt);
}

StoreRevision
StoreSimulation::RevisionAt(Instant aTime) const
{
  return std::prev(mRevisions.upper_bound(aTime))->second;
}

void
StoreSimulation::Pass(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (mNow < end) {
    mNow += kTick;
    Tick();
  }
}

void
StoreSimulation::Tick()
{
  if (IsDisturbed()) {
    mLastDisturbance = mNow;
  }
  for (Node& node : mNodes) {
    Advance(&node);
    Announce(&node);
  }
  CheckPromises();
}

void
StoreSimulation::Advance(Node* aNode)
{
  for (std::optional<PendingCall>* call : { &aNode->mCall, &aNode->mProbe }) {
    if (call->has_value()) {
      PendingCall pending = *std::exchange(*call, std::nullopt);
      if (!Answer(aNode, &pending)) {
        *call = std::move(pending);
      }
    }
  }
  for (const FollowerCall& action : aNode->mFollower.TakeDueCalls(mNow)) {
    Send(aNode, action);
  }
  for (const TargetName& target : aNode->mRemovalDelay.TakeDue(mNow)) {
    Unlist(aNode, target.value());
  }
}

void
StoreSimulation::Announce(Node* aNode)
{
  const StorePosition position = aNode->mFollower.Mirror().Position();
  if (position > aNode->mAnnounced && !aNode->mNextAnnouncement.has_value()) {
    aNode->mNextAnnouncement = mNow + kAnnounceDelay;
  }
  if (!aNode->mNextAnnouncement.has_value() ||
      *aNode->mNextAnnouncement > mNow) {
    return;
  }
  aNode->mNextAnnouncement.reset();
  aNode->mAnnounced = position;
  for (Node& node : mNodes) {
    node.mFollower.OnPeerPosition(position);
  }
}

void
StoreSimulation::Send(Node* aNode, const FollowerCall& aAction)
{
  if (std::holds_alternative<FetchFromPeerAction>(aAction)) {
    FetchFromPeer(aNode);
    return;
  }
  ++mCalls;
  PendingCall call{ aAction, mNow, mNow + TimeoutOf(aAction) };
  call.mIsLost = mAvailability == Availability::Silent;
  call.mIsRefused = mAvailability == Availability::Refuses;
  call.mIsClosed = mAvailability == Availability::Resets;
  (std::holds_alternative<ProbeAction>(aAction) ? aNode->mProbe
                                                : aNode->mCall) =
    std::move(call);
}

void
StoreSimulation::FetchFromPeer(Node* aNode)
{
  const StorePosition own = aNode->mFollower.Mirror().Position();
  for (const Node& peer : mNodes) {
    if (peer.mFollower.Mirror().Position() <= own) {
      continue;
    }
    const std::optional<StoreChanges> changes =
      peer.mFollower.Mirror().ChangesSince(own.mRevision);
    if (changes.has_value()) {
      Apply(aNode, aNode->mFollower.OnPeerChanges(*changes, mNow));
      return;
    }
  }
  aNode->mFollower.OnPeerFailure(mNow);
}

bool
StoreSimulation::Answer(Node* aNode, PendingCall* aCall)
{
  if (aCall->mIsRefused) {
    Fail(aNode, *aCall, StoreFailure::Refused);
    return true;
  }
  if (aCall->mIsClosed) {
    Fail(aNode, *aCall, StoreFailure::ConnectionClosed);
    return true;
  }
  if (mNow >= aCall->mDeadline) {
    Fail(aNode, *aCall, StoreFailure::Unreachable);
    return true;
  }
  const WatchAction* watch = std::get_if<WatchAction>(&aCall->mAction);
  const bool isDue = watch == nullptr || mRevision > watch->mAfter ||
                     mNow >= aCall->mSent + watch->mWait;
  if (aCall->mIsLost || !isDue) {
    return false;
  }
  if (mRandom() % 100 < mLossPercent) {
    aCall->mIsLost = true;
    return false;
  }
  if (watch != nullptr) {
    AnswerWatch(aNode, *watch);
  } else if (const ProbeAction* probe =
               std::get_if<ProbeAction>(&aCall->mAction)) {
    AnswerProbe(aNode, *probe);
  } else {
    AnswerRead(aNode);
  }
  return true;
}

void
StoreSimulation::AnswerProbe(Node* aNode, const ProbeAction& aProbe)
{
  const StoreRevision revision =
    aProbe.mConsistency == ReadConsistency::MayBeStale
      ? RevisionAt(mNow - mReadAge)
      : mRevision;
  aNode->mFollower.OnProbe({ StoreEra(), revision }, mNow);
}

void
StoreSimulation::AnswerWatch(Node* aNode, const WatchAction& aWatch)
{
  if (aWatch.mAfter < mHistorySince) {
    aNode->mFollower.OnFailure(StoreFailure::HistoryCompacted, mNow);
    return;
  }
  StoreChanges changes;
  changes.mStoreRevision = mRevision;
  std::copy_if(mHistory.begin(),
               mHistory.end(),
               std::back_inserter(changes.mChanges),
               [&](const StoreChange& aChange) {
                 return aChange.mRevision > aWatch.mAfter;
               });
  Apply(aNode, aNode->mFollower.OnChanges(changes, mNow));
}

void
StoreSimulation::AnswerRead(Node* aNode)
{
  StorePage page;
  page.mStoreRevision = mRevision;
  for (const auto& entry : mItems) {
    page.mItems.push_back(entry.second);
  }
  Apply(aNode, aNode->mFollower.OnPage(page, mNow));
}

void
StoreSimulation::Fail(Node* aNode,
                      const PendingCall& aCall,
                      StoreFailure aFailure)
{
  if (std::holds_alternative<ProbeAction>(aCall.mAction)) {
    aNode->mFollower.OnProbeFailure(mNow);
  } else {
    aNode->mFollower.OnFailure(aFailure, mNow);
  }
}

void
StoreSimulation::Apply(Node* aNode, const StoreMirror::Changes& aChanges)
{
  for (const StoreChange& change : aChanges) {
    if (change.mKey == kConfiguration) {
      continue;
    }
    const TargetName target(change.mKey);
    if (change.mValue.has_value()) {
      aNode->mRemovalDelay.OnListed(target);
      aNode->mTargets.insert(change.mKey);
      continue;
    }
    const RemovalDelay::Verdict verdict =
      aNode->mRemovalDelay.OnRemoved(target,
                                     aNode->mFollower.FailingSince(),
                                     aNode->mFollower.RestoredAt(),
                                     mNow);
    if (verdict == RemovalDelay::Verdict::RemoveNow) {
      Unlist(aNode, change.mKey);
    }
  }
}

void
StoreSimulation::Unlist(Node* aNode, const std::string& aTarget)
{
  if (aNode->mTargets.erase(aTarget) > 0 && mRunning.contains(aTarget)) {
    NoteFault("loss of " + aTarget);
  }
}

void
StoreSimulation::CheckPromises()
{
  if (IsInTouch()) {
    CheckConfigurations();
    CheckRemovals();
  }
}

void
StoreSimulation::CheckConfigurations()
{
  for (const Node& node : mNodes) {
    for (const auto& [revision, acknowledged] : mConfigurations) {
      if (mNow > acknowledged + kApplyTime &&
          node.mFollower.Mirror().CurrentRevision() < revision) {
        NoteFault("late configuration " + std::to_string(revision.value()));
      }
    }
  }
  std::erase_if(mConfigurations, [&](const auto& aEntry) {
    return mNow > aEntry.second + kApplyTime;
  });
}

void
StoreSimulation::CheckRemovals()
{
  for (const Node& node : mNodes) {
    for (const auto& [target, acknowledged] : mRemovals) {
      if (mNow > acknowledged + kDrainTime && node.mTargets.contains(target)) {
        NoteFault("late removal of " + target);
      }
    }
  }
  std::erase_if(mRemovals, [&](const auto& aEntry) {
    return mNow > aEntry.second + kDrainTime;
  });
}

void
StoreSimulation::NoteFault(const std::string& aText)
{
  const milliseconds now =
    std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch());
  mFaults.push_back(aText + " at " + std::to_string(now.count()) + " ms");
}

} // namespace verbenachute
