#include "MemberRig.h"

#include <algorithm>

namespace verbenachute {

namespace {

// The last answer that names a life that ended may have been given this long
// after its end.
constexpr Duration kLongestOffer = MemberSettings().mSuspectAfter;

} // namespace

MemberRig::MemberRig(std::size_t aNodes)
  : mNodes(aNodes)
{
  for (std::size_t i = 0; i < aNodes; ++i) {
    Start(i);
  }
  mOldList = Running();
}

void
MemberRig::Start(std::size_t aNode)
{
  Kill(aNode);
  Node& node = mNodes[aNode];
  node = Node{};
  node.mCondition = Condition::Running;
  node.mLife = mNextLife++;
  const MemberDescription self = Describe(aNode);
  node.mTable.emplace(self, MemberSettings(), node.mLife, mNow);
  // Seeds stand in for the list where that is down.
  node.mTable->AddSeed({ "n0", 2 });
  node.mAnswerer.emplace(AddressAnswerer::Settings());
  node.mLeaving.emplace(LeavingProcess::Settings());
  node.mPauses.emplace(seconds(1));
  mLives[CallerAddress(aNode)] = Life{};
  ReadList(aNode);
  Tick(aNode);
}

void
MemberRig::Kill(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mCondition == Condition::Down) {
    return;
  }
  Life& life = mLives[CallerAddress(aNode)];
  if (!life.mStopsServing) {
    life.mKilledAt = mNow;
  }
  node.mCondition = Condition::Down;
  node.mBacklog.clear();
  for (auto& [link, held] : mCuts) {
    // What a connection held back is lost with either end of it.
    if (link.first == aNode || link.second == aNode) {
      held.clear();
    }
  }
}

void
MemberRig::Leave(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mCondition == Condition::Running &&
      node.mLeaving->Phase() == LeavingPhase::Serving) {
    Carry(aNode, node.mLeaving->OnSignal({}, mNow));
  }
}

void
MemberRig::Freeze(std::size_t aNode)
{
  if (mNodes[aNode].mCondition == Condition::Running) {
    mNodes[aNode].mCondition = Condition::Frozen;
  }
}

void
MemberRig::Thaw(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mCondition != Condition::Frozen) {
    return;
  }
  node.mCondition = Condition::Running;
  const std::uint64_t life = node.mLife;
  for (const std::function<void()>& work : std::exchange(node.mBacklog, {})) {
    Deliver(aNode, life, work);
  }
}

void
MemberRig::Cut(std::size_t aFrom, std::size_t aTo)
{
  mCuts[{ aFrom, aTo }];
}

void
MemberRig::Heal(std::size_t aFrom, std::size_t aTo)
{
  const auto cut = mCuts.find({ aFrom, aTo });
  if (cut == mCuts.end()) {
    return;
  }
  for (const std::function<void()>& work : cut->second) {
    mEvents.emplace(mNow + kHop, work);
  }
  mCuts.erase(cut);
}

void
MemberRig::MendAll()
{
  mListState = ListState::Current;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Thaw(i);
    for (std::size_t j = 0; j < mNodes.size(); ++j) {
      Heal(i, j);
    }
  }
}

void
MemberRig::RunFor(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (!mEvents.empty() && mEvents.begin()->first <= end) {
    const auto next = mEvents.begin();
    mNow = next->first;
    const std::function<void()> work = std::move(next->second);
    mEvents.erase(next);
    work();
  }
  mNow = end;
}

void
MemberRig::At(Instant aTime, std::size_t aNode, std::function<void()> aWork)
{
  const std::uint64_t life = mNodes[aNode].mLife;
  mEvents.emplace(aTime, [this, aNode, life, work = std::move(aWork)]() {
    Deliver(aNode, life, work);
  });
}

void
MemberRig::Deliver(std::size_t aNode,
                   std::uint64_t aLife,
                   const std::function<void()>& aWork)
{
  Node& node = mNodes[aNode];
  if (node.mCondition == Condition::Down || node.mLife != aLife) {
    return;
  }
  if (node.mCondition == Condition::Frozen) {
    node.mBacklog.push_back(aWork);
    return;
  }
  aWork();
}

void
MemberRig::Tick(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  At(mNow + kTickPeriod, aNode, [this, aNode]() { Tick(aNode); });
  if (node.mPauses->Observe(mNow)) {
    node.mTable->OnWake(mNow);
  }
  if (mNow.time_since_epoch() % kListPeriod < kTickPeriod) {
    ReadList(aNode);
  }
  for (const OutgoingHeartbeat& heartbeat : node.mTable->Tick(mNow).mSend) {
    Send(aNode, heartbeat);
  }
  StepLeaving(aNode);
  At(mNow + kTickPeriod / 2, aNode, [this, aNode]() { Ask(aNode); });
}

void
MemberRig::Send(std::size_t aFrom, const OutgoingHeartbeat& aHeartbeat)
{
  // Peers keep their address over restarts: host "n1" is node 1.
  const std::size_t to = std::stoul(aHeartbeat.mPeerAddress.mHost.substr(1));
  const std::uint64_t life = mNodes[to].mLife;
  const std::function<void()> arrive =
    [this, to, life, message = aHeartbeat.mHeartbeat]() {
      Deliver(to, life, [this, to, message]() {
        mNodes[to].mTable->OnHeartbeat(message, mNow);
      });
    };
  const auto cut = mCuts.find({ aFrom, to });
  if (cut != mCuts.end()) {
    cut->second.push_back(arrive);
    return;
  }
  mEvents.emplace(mNow + kHop, arrive);
}

void
MemberRig::Ask(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const Result<AddressAnswer> answer = node.mAnswerer->Answer(
    CallerId(std::to_string(mAsked++)), *node.mTable, mNow);
  if (!IsError(answer)) {
    CheckAnswer(aNode, ValueOf(answer));
  }
}

void
MemberRig::CheckAnswer(std::size_t aNode, const AddressAnswer& aAnswer)
{
  for (const SocketAddress& address : aAnswer.mAddresses) {
    Life& life = mLives.at(address);
    life.mLastNamed = mNow;
    life.mLastExpiry = mNow + aAnswer.mValidFor;
    const std::string what = "n" + std::to_string(aNode) + " named " +
                             address.mHost + " life " +
                             std::to_string(address.mPort);
    if (life.mStopsServing) {
      Violate(what + ", which has left");
    }
    for (const std::optional<Instant>& end :
         { life.mKilledAt, life.mAnnouncedAt }) {
      if (end && mNow - *end > kLongestOffer) {
        Violate(what + ", which ended long ago");
      }
    }
  }
}

void
MemberRig::StepLeaving(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  LeavingFacts facts;
  facts.mUnconfirmed = node.mTable->Unconfirmed(mNow);
  facts.mBucketsHeld = node.mBuckets;
  Carry(aNode, node.mLeaving->Step(facts, mNow));
}

void
MemberRig::Carry(std::size_t aNode, const std::vector<LeavingAction>& aActions)
{
  Node& node = mNodes[aNode];
  for (const LeavingAction action : aActions) {
    switch (action) {
      case LeavingAction::AnnounceLeaving:
        node.mTable->Self().mPhase = MemberPhase::Leaving;
        mLives[CallerAddress(aNode)].mAnnouncedAt = mNow;
        break;
      case LeavingAction::RefuseNewWork:
        StopServing(aNode);
        break;
      case LeavingAction::HandOverBuckets:
        At(mNow + milliseconds(300), aNode, [&node]() { node.mBuckets = 0; });
        break;
      case LeavingAction::Exit:
        Kill(aNode);
        node.mHasLeft = true;
        break;
    }
  }
}

void
MemberRig::StopServing(std::size_t aNode)
{
  Life& life = mLives[CallerAddress(aNode)];
  life.mStopsServing = mNow;
  if (life.mLastExpiry > mNow) {
    Violate("n" + std::to_string(aNode) +
            " stopped serving while an answer named it");
  }
}

void
MemberRig::ReadList(std::size_t aNode)
{
  if (mListState == ListState::Current) {
    mNodes[aNode].mTable->OnVmList(Running(), mNow);
  } else if (mListState == ListState::Lagging) {
    mNodes[aNode].mTable->OnVmList(mOldList, mNow);
  } else if (mListState == ListState::Empty) {
    mNodes[aNode].mTable->OnVmList({}, mNow);
  }
}

std::vector<ListedVm>
MemberRig::Running() const
{
  std::vector<ListedVm> list;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    if (mNodes[i].mCondition != Condition::Down) {
      const MemberDescription node = Describe(i);
      list.push_back(ListedVm{ node.mIdentity.mName,
                               node.mCallerAddress,
                               node.mPeerAddress,
                               node.mOperatorAddress,
                               node.mDomain,
                               node.mRegion,
                               MemberPhase::Live });
    }
  }
  return list;
}

MemberDescription
MemberRig::Describe(std::size_t aNode) const
{
  MemberDescription node;
  const std::string name = "n" + std::to_string(aNode);
  node.mIdentity = { NodeName(name), Incarnation(mNodes[aNode].mLife) };
  node.mCallerAddress = CallerAddress(aNode);
  node.mPeerAddress = { name, 2 };
  node.mDomain = FailureDomain("d" + std::to_string(aNode % 2));
  node.mRegion = Region("r");
  return node;
}

// The port tells the lives of a node apart.
SocketAddress
MemberRig::CallerAddress(std::size_t aNode) const
{
  return { "n" + std::to_string(aNode),
           static_cast<std::uint16_t>(mNodes[aNode].mLife) };
}

bool
MemberRig::IsDown(std::size_t aNode) const
{
  return mNodes[aNode].mCondition == Condition::Down;
}

bool
MemberRig::HasLeft(std::size_t aNode) const
{
  return mNodes[aNode].mHasLeft;
}

std::string
MemberRig::Disagreement() const
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    for (std::size_t j = 0; j < mNodes.size(); ++j) {
      if (i == j || IsDown(i)) {
        continue;
      }
      const std::string pair =
        "n" + std::to_string(i) + " of n" + std::to_string(j) + ": ";
      const std::optional<Member> member =
        mNodes[i].mTable->Find(NodeName("n" + std::to_string(j)), mNow);
      const MemberState state = member ? member->mState : MemberState::Dead;
      if (IsDown(j) &&
          (state == MemberState::Alive || state == MemberState::Leaving)) {
        return pair + "alive though down";
      }
      if (!IsDown(j) && (state != MemberState::Alive ||
                         member->mDescription.mIdentity !=
                           mNodes[j].mTable->Self().mIdentity)) {
        return pair + MemberStateName(state) + " though running";
      }
    }
  }
  return "";
}

void
MemberRig::Violate(const std::string& aWhat)
{
  if (mViolation.empty()) {
    mViolation = aWhat;
  }
}

} // namespace verbenachute
