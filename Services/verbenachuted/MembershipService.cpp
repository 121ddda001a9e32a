#include "MembershipService.h"

#include <LibControl/ControlMethods.h>
#include <LibControl/MemberCodec.h>
#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

constexpr Duration kTickInterval = milliseconds(100);
constexpr Duration kListInterval = seconds(2);
constexpr Duration kLongestGap = seconds(1);

EventNumber
EventOf(MemberChange::Kind aKind)
{
  switch (aKind) {
    case MemberChange::Kind::Joined:
      return EventNumber::MemberJoined;
    case MemberChange::Kind::Replaced:
    case MemberChange::Kind::SelfReplaced:
      return EventNumber::MemberReplaced;
    case MemberChange::Kind::Leaving:
      return EventNumber::MemberLeaving;
    case MemberChange::Kind::Suspected:
      return EventNumber::MemberSuspected;
    case MemberChange::Kind::Refuted:
      return EventNumber::MemberRefuted;
    case MemberChange::Kind::Died:
      return EventNumber::MemberDied;
  }
  VERIFY(!"unknown change");
}

ListedVm
ListedVmOf(const VmEntry& aEntry)
{
  ListedVm vm;
  vm.mName = aEntry.mName;
  vm.mCallerAddress = aEntry.mCallerAddress;
  vm.mPeerAddress = aEntry.mPeerAddress;
  vm.mOperatorAddress = aEntry.mOperatorAddress;
  vm.mDomain = aEntry.mDomain;
  vm.mRegion = aEntry.mRegion;
  vm.mPhase = aEntry.mState == VmState::Leaving ? MemberPhase::Leaving
                                                : MemberPhase::Live;
  return vm;
}

} // namespace

MembershipService::MembershipService(const MemberDescription& aSelf,
                                     const std::vector<SocketAddress>& aSeeds,
                                     Dependencies aDependencies)
  : mDependencies(aDependencies)
  , mTable(aSelf,
           MemberSettings(),
           aSelf.mIdentity.mIncarnation.value(),
           mDependencies.mLoop.Now())
  , mPauses(kLongestGap)
  , mTickTimer(mDependencies.mLoop, [this]() { Tick(); })
  , mListTimer(mDependencies.mLoop, [this]() { ReadVmList(); })
{
  for (const SocketAddress& seed : aSeeds) {
    mTable.AddSeed(seed);
  }
}

void
MembershipService::Start()
{
  ReadVmList();
  Tick();
}

void
MembershipService::SetReplyWriter(ReplyWriter aWriter)
{
  mReplyWriter = std::move(aWriter);
}

Result<Json::Value>
MembershipService::AnswerHeartbeat(const Json::Value& aInput)
{
  const Result<MemberHeartbeat> heartbeat = ReadHeartbeat(aInput);
  if (IsError(heartbeat)) {
    return ErrorOf(heartbeat);
  }
  mDependencies.mMetrics.Add(Counter::HeartbeatsReceived);
  Report(mTable.OnHeartbeat(ValueOf(heartbeat), mDependencies.mLoop.Now()));
  IndexHolders();
  Json::Value output(Json::objectValue);
  if (mReplyWriter) {
    mReplyWriter(output);
  }
  return output;
}

MemberTable&
MembershipService::Table()
{
  return mTable;
}

const std::set<NodeName>&
MembershipService::ListedNames() const
{
  return mListed;
}

std::vector<Member>
MembershipService::LivePeers() const
{
  std::vector<Member> live;
  for (Member& member : mTable.Members(mDependencies.mLoop.Now())) {
    if (member.mState == MemberState::Alive ||
        member.mState == MemberState::Leaving) {
      live.push_back(std::move(member));
    }
  }
  return live;
}

std::optional<SocketAddress>
MembershipService::PeerAddress(const NodeName& aNode) const
{
  const std::optional<Member> member =
    mTable.Find(aNode, mDependencies.mLoop.Now());
  if (!member.has_value()) {
    return std::nullopt;
  }
  return member->mDescription.mPeerAddress;
}

std::optional<PeerEndpoint>
MembershipService::HolderOf(const Bucket& aBucket) const
{
  const auto found = mHolders.find(aBucket);
  if (found == mHolders.end()) {
    return std::nullopt;
  }
  return found->second;
}

void
MembershipService::IndexHolders()
{
  mHolders.clear();
  for (const Member& member : LivePeers()) {
    const MemberDescription& description = member.mDescription;
    for (const MemberBuckets& buckets : description.mBuckets) {
      for (std::uint16_t index = 0; index < kBucketsPerDomain; ++index) {
        if ((buckets.mMask & (1U << index)) != 0) {
          mHolders.emplace(
            Bucket{ buckets.mDomain, index },
            PeerEndpoint{ description.mIdentity, description.mPeerAddress });
        }
      }
    }
  }
}

sigc::signal<void()>&
MembershipService::Ticked()
{
  return mTicked;
}

MembershipService::ReplySignal&
MembershipService::ReplyArrived()
{
  return mReplyArrived;
}

MembershipService::MemberSignal&
MembershipService::MemberLost()
{
  return mMemberLost;
}

sigc::signal<void()>&
MembershipService::SelfReplaced()
{
  return mSelfReplaced;
}

void
MembershipService::Tick()
{
  mTickTimer.Start(kTickInterval);
  const Instant now = mDependencies.mLoop.Now();
  const std::optional<Duration> pause = mPauses.Observe(now);
  if (pause.has_value()) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::ProcessPaused)
        .At(Step::Membership)
        .With("pause_ms",
              std::chrono::duration_cast<milliseconds>(*pause).count()));
    mTable.OnWake(now);
  }
  const MemberActions actions = mTable.Tick(now);
  for (const OutgoingHeartbeat& heartbeat : actions.mSend) {
    Send(heartbeat);
  }
  Report(actions.mChanges);
  IndexHolders();
  mTicked.emit();
}

void
MembershipService::Send(const OutgoingHeartbeat& aHeartbeat)
{
  const Instant asked = mDependencies.mLoop.Now();
  mDependencies.mMetrics.Add(Counter::HeartbeatsSent);
  mDependencies.mPeers.Call(
    aHeartbeat.mPeerAddress,
    kHeartbeatMethod,
    WriteHeartbeat(aHeartbeat.mHeartbeat),
    [this, peer = aHeartbeat.mPeer, asked](const Result<Json::Value>& aReply) {
      if (!IsError(aReply) && !peer.value().empty()) {
        mReplyArrived.emit(peer, ValueOf(aReply), asked);
      }
    });
}

void
MembershipService::Report(const std::vector<MemberChange>& aChanges)
{
  for (const MemberChange& change : aChanges) {
    mDependencies.mLogger.Log(LogEvent(EventOf(change.mKind))
                                .At(Step::Membership)
                                .Peer(NodeIdentityText(change.mMember)));
    if (change.mKind == MemberChange::Kind::Died) {
      mMemberLost.emit(change.mMember);
    }
    if (change.mKind == MemberChange::Kind::Replaced) {
      // The change names the new life; the ones before it have ended.
      mMemberLost.emit(
        NodeIdentity{ change.mMember.mName,
                      Incarnation(change.mMember.mIncarnation.value() - 1) });
    }
    if (change.mKind == MemberChange::Kind::SelfReplaced) {
      mSelfReplaced.emit();
    }
  }
}

void
MembershipService::ReadVmList()
{
  mListTimer.Start(kListInterval);
  mDependencies.mPlatform.ListVms(
    [this](const Result<std::vector<VmEntry>>& aList) { OnVmList(aList); });
}

void
MembershipService::OnVmList(const Result<std::vector<VmEntry>>& aList)
{
  if (IsError(aList)) {
    mDependencies.mLogger.Log(
      LogEvent(EventNumber::VmListUnavailable).WithError(ErrorOf(aList)));
    return;
  }
  std::vector<ListedVm> listed;
  mListed.clear();
  for (const VmEntry& entry : ValueOf(aList)) {
    listed.push_back(ListedVmOf(entry));
    mListed.insert(entry.mName);
  }
  mTable.OnVmList(listed, mDependencies.mLoop.Now());
}

} // namespace verbenachute
