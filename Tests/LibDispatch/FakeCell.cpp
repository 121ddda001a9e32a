#include "FakeCell.h"

#include <LibCore/SocketAddressText.h>
#include <LibCore/Verify.h>

namespace verbenachute {

namespace {

constexpr int kFirstTarget = 100;
const Duration kTick = milliseconds(10);
const Duration kFaultInterval = milliseconds(100);
/// Configurations reach every node that is awake within this.
const Duration kSpread = milliseconds(900);

} // namespace

FakeCell::Machines::Machines(const NodeIdentity& aSelf,
                             const LeaseSettings& aLeases,
                             const DispatchSettings& aDispatch,
                             Instant aNow)
  : mVoter(aSelf, aLeases, aNow)
  , mHolder(aSelf, aLeases)
  , mSteward(aLeases)
  , mGate(aSelf, aDispatch, mHolder)
{
}

FakeCell::FakeCell(std::uint64_t aSeed, const CellFaults& aFaults, int aNodes)
  : mRandom(aSeed)
  , mFaults(aFaults)
  , mDomains({ FailureDomain("caxias-a"), FailureDomain("bento-c") })
{
  mConfiguration.mRevision = Revision(1);
  for (int number = 0; number < 6; ++number) {
    FakeTarget target;
    target.mName = TargetName("t-" + std::to_string(number));
    target.mDomain = mDomains[number % 2];
    target.mSlots = number < 2 ? 6 : 2;
    mConfiguration.Add({ target.mName,
                         ServiceName("painel-doca"),
                         SocketAddress{ "127.0.0.1", 9000 },
                         target.mDomain,
                         target.mSlots,
                         target.mConnectionCap });
    mTargets[target.mName] = target;
  }
  mNodes.resize(aNodes);
  for (int node = 0; node < aNodes; ++node) {
    mNodes[node].mIdentity.mName = NodeName("n-" + std::to_string(node));
    mNodes[node].mDomain = mDomains[node % 2];
    mNodes[node].mClockOffset = Between(seconds(0), seconds(900));
    mNodes[node].mClockPerMille = Pick(41) - 20;
    Start(node);
    At(Between(Duration(0), kTick), [this, node] { Tick(node); });
  }
  At(kFaultInterval, [this] { InjectFaults(); });
  At(milliseconds(1), [this] { Submit(); });
}

void
FakeCell::Run(Duration aTime)
{
  const Instant end = mNow + aTime;
  while (!mEvents.empty() && mEvents.top().mAt <= end) {
    const Event event = mEvents.top();
    mEvents.pop();
    mNow = event.mAt;
    event.mRun();
  }
  mNow = end;
}

void
FakeCell::Calm()
{
  mFaults = CellFaults{};
  mCuts.clear();
  mStoreBack = mNow;
  for (NodeState& node : mNodes) {
    node.mMissesConfiguration = false;
  }
}

std::string
FakeCell::Violations() const
{
  std::string text;
  for (const auto& [what, at] : mViolations) {
    text += what + " first at " +
            std::to_string(at.time_since_epoch().count()) + "; ";
  }
  for (const auto& [name, target] : mTargets) {
    text += target.mOverSlots > 0 ? name.value() + " over its slots; " : "";
    text += target.mOverCold > 0 ? name.value() + " over its warmth; " : "";
    text += target.mPeakConnections > target.mConnectionCap
              ? name.value() + " over its connections; "
              : "";
  }
  return text;
}

std::size_t
FakeCell::Buckets() const
{
  return mDomains.size() * kBucketsPerDomain;
}

std::size_t
FakeCell::HeldBuckets() const
{
  std::set<Bucket> held;
  for (const NodeState& node : mNodes) {
    if (node.mMachines) {
      for (const Bucket& bucket :
           node.mMachines->mHolder.HeldBuckets(Local(node))) {
        held.insert(bucket);
      }
    }
  }
  return held.size();
}

std::uint32_t
FakeCell::PoisonCrashes(Instant aAfter) const
{
  std::uint32_t count = 0;
  for (const Instant crash : mPoisonCrashes) {
    count += crash > aAfter ? 1 : 0;
  }
  return count;
}

Instant
FakeCell::FirstPoisonCrash() const
{
  return mPoisonCrashes.empty() ? Instant::max() : mPoisonCrashes.front();
}

double
FakeCell::Chance()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

Duration
FakeCell::Between(Duration aLeast, Duration aMost)
{
  return Duration(std::uniform_int_distribution<Duration::rep>(
    aLeast.count(), aMost.count())(mRandom));
}

int
FakeCell::Pick(int aCount)
{
  return std::uniform_int_distribution<int>(0, aCount - 1)(mRandom);
}

void
FakeCell::Violate(const std::string& aWhat)
{
  mViolations.emplace(aWhat, mNow);
}

void
FakeCell::At(Duration aDelay, std::function<void()> aRun)
{
  mEvents.push(Event{ mNow + aDelay, ++mOrder, std::move(aRun) });
}

void
FakeCell::AtNode(int aNode, Duration aDelay, Step aStep)
{
  const NodeIdentity life = mNodes[aNode].mIdentity;
  At(aDelay, [this, aNode, life, step = std::move(aStep)] {
    NodeState& node = mNodes[aNode];
    const std::function<void()> run = [this, aNode, life, step] {
      if (mNodes[aNode].mMachines && mNodes[aNode].mIdentity == life) {
        step(mNodes[aNode]);
      }
    };
    if (node.mIsFrozen) {
      node.mPending.push_back(run);
    } else {
      run();
    }
  });
}

void
FakeCell::Send(int aFrom, int aTo, const Step& aStep, double aDuplicates)
{
  const int copies = Chance() < aDuplicates ? 2 : 1;
  for (int copy = 0; copy < copies && !IsCut(aFrom, aTo); ++copy) {
    const Duration delay = Chance() < mFaults.mLate
                             ? Between(milliseconds(100), seconds(3))
                             : Between(microseconds(200), milliseconds(4));
    AtNode(aTo, delay, aStep);
  }
}

Instant
FakeCell::Local(const NodeState& aNode) const
{
  const Duration passed = mNow.time_since_epoch();
  return Instant(passed + passed * aNode.mClockPerMille / 1000 +
                 aNode.mClockOffset);
}

int
FakeCell::IndexOf(const NodeName& aName) const
{
  return std::stoi(aName.value().substr(2));
}

bool
FakeCell::IsCut(int aFrom, int aTo) const
{
  return mCuts.contains({ aFrom, aTo });
}

FakeCell::NodeState*
FakeCell::Awake(int aNode)
{
  NodeState& node = mNodes[aNode];
  return node.mMachines && !node.mIsFrozen ? &node : nullptr;
}

void
FakeCell::Start(int aNode)
{
  NodeState& node = mNodes[aNode];
  node.mIdentity.mIncarnation = Incarnation(++mNextIncarnation);
  node.mMachines =
    std::make_unique<Machines>(node.mIdentity, mLeases, mDispatch, Local(node));
  node.mRevision = Revision(0);
  node.mAwakeSince = mNow;
  node.mPending.clear();
  Configure(node);
  Apply(aNode, node.mMachines->mHolder.OnDomains(mDomains, Local(node)));
}

void
FakeCell::Configure(NodeState& aNode)
{
  Machines& machines = *aNode.mMachines;
  aNode.mRevision = mConfiguration.mRevision;
  machines.mVoter.OnRevision(aNode.mRevision);
  machines.mHolder.OnRevision(aNode.mRevision);
  Apply(IndexOf(aNode.mIdentity.mName),
        machines.mGate.OnConfiguration(
          std::make_shared<FakeConfiguration>(mConfiguration), Local(aNode)));
}

void
FakeCell::Kill(int aNode)
{
  NodeState& node = mNodes[aNode];
  const NodeIdentity life = node.mIdentity;
  node.mMachines.reset();
  node.mIsFrozen = false;
  node.mPending.clear();
  const Duration lingering = Chance() < 0.5 ? seconds(5) : milliseconds(1);
  At(lingering, [this, life] {
    for (auto& [name, target] : mTargets) {
      target.mConnections.erase(life);
    }
  });
  At(Between(milliseconds(50), seconds(15)), [this, aNode] { Start(aNode); });
}

void
FakeCell::Freeze(int aNode, Duration aTime)
{
  mNodes[aNode].mIsFrozen = true;
  const NodeIdentity life = mNodes[aNode].mIdentity;
  At(aTime, [this, aNode, life] {
    NodeState& node = mNodes[aNode];
    if (node.mIdentity != life || !node.mMachines) {
      return;
    }
    node.mIsFrozen = false;
    node.mAwakeSince = mNow;
    const std::vector<std::function<void()>> pending = std::move(node.mPending);
    node.mPending.clear();
    for (const std::function<void()>& run : pending) {
      run();
    }
  });
}

void
FakeCell::Crash(const TargetName& aTarget)
{
  FakeTarget& target = mTargets.at(aTarget);
  const std::map<FakeTarget::Key, FakeTarget::Run> running = target.mRunning;
  const std::map<NodeIdentity, std::uint32_t> open = target.mConnections;
  target.Crash();
  for (const auto& [key, run] : running) {
    const DispatchId id(std::stoull(key.substr(key.find(' ') + 1)));
    LoseConnection(IndexOf(run.mHolder.mName), run.mHolder, id);
  }
  for (const auto& [life, count] : open) {
    const int index = IndexOf(life.mName);
    if (mNodes[index].mIdentity == life) {
      AtNode(index,
             Between(microseconds(200), milliseconds(2)),
             [this, aTarget](NodeState& aNode) {
               mTargets.at(aTarget).mStale.erase(aNode.mIdentity);
               Apply(IndexOf(aNode.mIdentity.mName),
                     aNode.mMachines->mGate.OnIdleConnectionLost(aTarget,
                                                                 Local(aNode)));
             });
    }
  }
  At(Between(milliseconds(300), milliseconds(900)),
     [this, aTarget] { mTargets.at(aTarget).mIsDown = false; });
}

void
FakeCell::LoseConnection(int aNode, const NodeIdentity& aHolder, DispatchId aId)
{
  if (mNodes[aNode].mIdentity != aHolder) {
    return;
  }
  AtNode(aNode,
         Between(microseconds(200), milliseconds(2)),
         [this, aNode, aId](NodeState& aState) {
           Apply(aNode,
                 aState.mMachines->mGate.OnConnectionLost(aId, Local(aState)));
         });
}

void
FakeCell::Tick(int aNode)
{
  At(kTick, [this, aNode] { Tick(aNode); });
  NodeState* node = Awake(aNode);
  if (node == nullptr) {
    return;
  }
  const bool isBehind =
    node->mRevision < mConfiguration.mRevision && !node->mMissesConfiguration;
  const Instant due = std::max(mAccepted, node->mAwakeSince) + kSpread;
  if (isBehind && (mNow >= due || Chance() < 0.02)) {
    Configure(*node);
  }
  if (Chance() < 0.05) {
    Steward(aNode);
    CheckHolders();
  }
  Machines& machines = *node->mMachines;
  machines.mVoter.OnTimer(Local(*node));
  Apply(aNode, machines.mHolder.OnTimer(Local(*node)));
  Apply(aNode, machines.mGate.OnTimer(Local(*node)));
}

void
FakeCell::Steward(int aNode)
{
  NodeState& node = mNodes[aNode];
  Machines& machines = *node.mMachines;
  const Instant now = Local(node);
  std::vector<LeaseMember> live;
  std::set<NodeName> listed;
  for (int index = 0; index < static_cast<int>(mNodes.size()); ++index) {
    listed.insert(mNodes[index].mIdentity.mName);
    if (Awake(index) != nullptr && !IsCut(index, aNode)) {
      live.push_back({ mNodes[index].mIdentity.mName, mNodes[index].mDomain });
    }
  }
  Apply(aNode, machines.mHolder.OnMembers(live, now));
  if (mNow < mStoreBack) {
    return;
  }
  machines.mSteward.OnMembers(live, listed, now);
  machines.mSteward.OnStoreRoster(mStored, now);
  const std::optional<RosterProposal> proposal =
    machines.mSteward.Consider(now);
  if (proposal) {
    const bool isWritten = proposal->mExpected == mStored.mEpoch;
    if (isWritten) {
      mStored = proposal->mNext;
    }
    const RosterOutcome told =
      isWritten ? RosterOutcome::Written : RosterOutcome::Conflict;
    machines.mSteward.OnOutcome(Chance() < 0.2 ? RosterOutcome::Unknown : told,
                                now);
  }
  if (mStored.mEpoch > RosterEpoch(0)) {
    machines.mVoter.OnStoreRoster(mStored);
    Apply(aNode, machines.mHolder.OnRoster(mStored, now));
  }
}

void
FakeCell::CheckHolders()
{
  std::map<Bucket, int> holders;
  for (const NodeState& node : mNodes) {
    if (!node.mMachines) {
      continue;
    }
    const Instant now = Local(node);
    for (const Bucket& bucket : node.mMachines->mHolder.HeldBuckets(now)) {
      holders[bucket] +=
        node.mMachines->mHolder.MayDispatch(bucket, now) ? 1 : 0;
    }
  }
  for (const auto& [bucket, count] : holders) {
    if (count > 1) {
      Violate("two holders of " + BucketText(bucket));
    }
  }
}

void
FakeCell::InjectFaults()
{
  At(kFaultInterval, [this] { InjectFaults(); });
  const double share = 0.1;
  const int count = static_cast<int>(mNodes.size());
  const int node = Pick(count);
  int absent = 0;
  for (int index = 0; index < count; ++index) {
    absent += Awake(index) == nullptr ? 1 : 0;
  }
  const bool mayLose = Awake(node) != nullptr && absent < count / 2;
  if (mayLose && Chance() < mFaults.mFreezes * share) {
    Freeze(node, Between(milliseconds(20), seconds(6)));
  } else if (mayLose && Chance() < mFaults.mKills * share) {
    Kill(node);
  }
  if (Chance() < mFaults.mCuts * share) {
    const int other = Chance() < 0.3 ? kFirstTarget + Pick(6) : Pick(count);
    const std::pair<int, int> cut =
      Chance() < 0.5 ? std::pair(node, other) : std::pair(other, node);
    mCuts.insert(cut);
    At(Between(milliseconds(50), seconds(8)),
       [this, cut] { mCuts.erase(cut); });
  }
  if (Chance() < mFaults.mTargetCrashes * share) {
    const TargetName target("t-" + std::to_string(Pick(6)));
    if (!mTargets.at(target).mIsDown) {
      Crash(target);
    }
  }
  if (Chance() < mFaults.mMoves * share) {
    TakeOutOrBack();
    NodeState& missing = mNodes[Pick(count)];
    const bool isOnlyOne =
      std::none_of(mNodes.begin(), mNodes.end(), [](const NodeState& aNode) {
        return aNode.mMissesConfiguration;
      });
    if (isOnlyOne && Chance() < 0.5) {
      missing.mMissesConfiguration = true;
      At(Between(seconds(1), seconds(10)),
         [&missing] { missing.mMissesConfiguration = false; });
    }
    if (Chance() < 0.2) {
      mStoreBack = mNow + Between(seconds(1), seconds(20));
    }
  }
}

void
FakeCell::TakeOutOrBack()
{
  const FailureDomain& domain = mDomains[Pick(2)];
  const bool isOut = mConfiguration.mTakenOut.contains(domain);
  if (isOut) {
    mConfiguration.mTakenOut.erase(domain);
    mTakenOut.erase(domain);
  } else {
    mConfiguration.mTakenOut.insert(domain);
    mTakenOut[domain] = mNow;
  }
  mConfiguration.mRevision = Revision(mConfiguration.mRevision.value() + 1);
  mAccepted = mNow;
}

} // namespace verbenachute
