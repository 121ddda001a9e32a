#include "PoisonFleet.h"

#include "../LibGossip/SimulatedNode.h"

#include <LibGossip/GossipCodec.h>

#include <algorithm>
#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr Duration kStep = milliseconds(10);
constexpr Duration kTimeToRestart = seconds(3);
constexpr const char* kPath = "/single/page";
constexpr const char* kHarmlessTenant = "harmless";
constexpr Duration kTimeToAnswer = milliseconds(20);
constexpr std::size_t kDirectNodes = 8;
constexpr std::size_t kDomains = 4;

NodeStatus
StatusOf(std::size_t aNode, std::uint64_t aIncarnation)
{
  return SimulatedNodeStatus(aNode, aIncarnation, kDomains);
}

} // namespace

PoisonFleet::PoisonFleet(std::size_t aNodes,
                         std::size_t aTargets,
                         Comeback aComeback)
  : mComeback(aComeback)
{
  for (std::size_t i = 0; i < aTargets; ++i) {
    Target& target = mTargets.emplace_back();
    target.mListed.mName = TargetName("t" + std::to_string(mNextTarget++));
    target.mListed.mService = ServiceName("single");
    target.mListed.mAddress = SocketAddress{ "10.0.0.2", 1 };
    target.mListed.mSlots = 2;
  }
  mNodes.resize(aNodes);
  for (std::size_t i = 0; i < aNodes; ++i) {
    mNodes[i].mRoundOffset = i;
    Start(i);
  }
  Pass(seconds(8));
}

void
PoisonFleet::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mRig = std::make_unique<ForwardRig>();
  node.mRig->mNow = mNow;
  GossipTable::Settings settings;
  settings.mSeed = aNode + 1;
  node.mGossip =
    std::make_unique<GossipTable>(settings, StatusOf(aNode, node.mIncarnation));
  std::vector<NodeName> names;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    names.push_back(StatusOf(i, 0).mIdentity.mName);
    if (i < 3) {
      node.mGossip->AddSeed(StatusOf(i, 0).mPeerAddress);
    }
  }
  node.mRig->mEngine.SetNodes(names, names[aNode]);
  node.mInTouchFrom = mNow + kContact;
  ListTargets(aNode);
}

void
PoisonFleet::Restart(std::size_t aNode)
{
  ++mNodes[aNode].mIncarnation;
  std::erase_if(mArrivals, [&](const auto& aArrival) {
    return aArrival.first.first == aNode;
  });
  Start(aNode);
}

void
PoisonFleet::Cut(std::size_t aNode)
{
  mNodes[aNode].mIsCut = true;
}

void
PoisonFleet::Heal(std::size_t aNode)
{
  mNodes[aNode].mIsCut = false;
  mNodes[aNode].mInTouchFrom = mNow + kContact;
}

void
PoisonFleet::ListTargets(std::size_t aNode)
{
  for (const Target& target : mTargets) {
    if (!target.mIsDown) {
      RigOf(aNode).mEngine.Targets().List(target.mListed, mNow);
    }
  }
}

void
PoisonFleet::Ask(std::size_t aNode, const TenantName& aTenant)
{
  mDeadly.try_emplace(aTenant);
  RigOf(aNode).mTenant = aTenant;
  static_cast<void>(RigOf(aNode).Submit(kPath));
  Collect(aNode);
}

void
PoisonFleet::AskHarmless(std::size_t aNode)
{
  RigOf(aNode).mTenant = TenantName(kHarmlessTenant);
  const RequestNumber number = RigOf(aNode).Submit(kPath);
  const RefusedOutcome* refused =
    RigOf(aNode).OutcomeOf<RefusedOutcome>(number);
  if (refused != nullptr && refused->mReason == RefusalReason::Poisonous) {
    ++mRefused;
  }
  Collect(aNode);
}

void
PoisonFleet::AskAnywhere(Duration aFor, Duration aInterval)
{
  for (const Instant end = mNow + aFor; mNow < end;) {
    Ask(mRandom() % std::min(mNodes.size(), kDirectNodes));
    Pass(aInterval);
  }
}

void
PoisonFleet::LoseConnections(std::size_t aNode, std::size_t aRequests)
{
  for (std::size_t i = 0; i < aRequests; ++i) {
    mNodes[aNode].mGossip->AddPoisonObservation(
      PoisonObservation{ Fingerprint(mNextFingerprint++), TargetName("t0") },
      mNow);
  }
}

void
PoisonFleet::Collect(std::size_t aNode)
{
  // Arrivals of new sends, and observations for the other nodes.
  Node& node = mNodes[aNode];
  const bool inTouch = !node.mIsCut && mNow >= node.mInTouchFrom;
  for (const SendAction& send : node.mRig->Open()) {
    const bool isNew =
      mArrivals.emplace(std::pair(aNode, send.mAttempt), mNow).second;
    const auto deadly = mDeadly.find(send.mRequest->mTenant);
    if (isNew && inTouch && deadly != mDeadly.end() &&
        deadly->second.mCrashes.size() >= 3 &&
        mNow > deadly->second.mCrashes[2] + kContact) {
      deadly->second.mLateRetries.emplace(aNode, send.mRequest->mId.value());
    }
  }
  for (const PoisonObservation& observation :
       node.mRig->mEngine.TakePoisonObservations()) {
    node.mGossip->AddPoisonObservation(observation, mNow);
  }
}

void
PoisonFleet::Crash(Target* aTarget, const TenantName& aTenant)
{
  mDeadly.at(aTenant).mCrashes.push_back(mNow);
  aTarget->mIsDown = true;
  aTarget->mUpFrom = mNow + kTimeToRestart;
  const TargetName name = aTarget->mListed.mName;
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    for (const SendAction& send : RigOf(i).Open()) {
      if (send.mTarget == name) {
        mArrivals.erase({ i, send.mAttempt });
        RigOf(i).Break(send.mAttempt, mCrashFailure);
      }
    }
    Collect(i);
  }
}

void
PoisonFleet::EndAttempts()
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    for (const SendAction& send : RigOf(i).Open()) {
      const auto target =
        std::find_if(mTargets.begin(), mTargets.end(), [&](const Target& aOne) {
          return aOne.mListed.mName == send.mTarget && !aOne.mIsDown;
        });
      const auto arrival = mArrivals.find({ i, send.mAttempt });
      if (target == mTargets.end()) {
        if (arrival != mArrivals.end()) {
          mArrivals.erase(arrival);
          RigOf(i).Break(send.mAttempt, AttemptFailure::NotSent);
          Collect(i);
        }
      } else if (arrival == mArrivals.end()) {
        continue;
      } else if (mDeadly.contains(send.mRequest->mTenant)) {
        if (mNow - arrival->second >= mTimeToCrash) {
          Crash(&*target, send.mRequest->mTenant);
        }
      } else if (mNow - arrival->second >= kTimeToAnswer) {
        mArrivals.erase(arrival);
        ++mAnswered;
        RigOf(i).Answer(send.mAttempt);
        Collect(i);
      }
    }
  }
}

void
PoisonFleet::BringTargetsBack()
{
  for (Target& target : mTargets) {
    if (!target.mIsDown || mNow < target.mUpFrom) {
      continue;
    }
    target.mIsDown = false;
    target.mListed.mStartTime =
      std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch());
    const TargetName before = target.mListed.mName;
    if (mComeback == Comeback::NewName) {
      target.mListed.mName = TargetName("t" + std::to_string(mNextTarget++));
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (mComeback == Comeback::NewName) {
        RigOf(i).mEngine.Targets().Unlist(before);
      }
      RigOf(i).mEngine.Targets().List(target.mListed, mNow);
    }
  }
}

void
PoisonFleet::Gossip()
{
  const std::uint64_t step =
    static_cast<std::uint64_t>(mNow.time_since_epoch() / kStep);
  const std::uint64_t stepsPerRound =
    static_cast<std::uint64_t>(GossipTable::Settings().mPeriod / kStep);
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Node& node = mNodes[i];
    if ((step + node.mRoundOffset) % stepsPerRound != 0) {
      continue;
    }
    node.mGossip->SetGossipRole(i < kDirectNodes ? GossipRole::Direct
                                                 : GossipRole::Relayed);
    node.mGossip->SetPoisonConvictions(
      RigOf(i).mEngine.PoisonConvictions(mNow));
    for (const GossipTable::Datagram& datagram : node.mGossip->Round(mNow)) {
      const Result<GossipMessage> message =
        DecodeGossip(EncodeGossip(datagram.mMessage));
      REQUIRE(!IsError(message));
      for (std::size_t to = 0; to < mNodes.size(); ++to) {
        const SocketAddress address = StatusOf(to, 0).mPeerAddress;
        const bool isReceiver = std::find(datagram.mReceivers.begin(),
                                          datagram.mReceivers.end(),
                                          address) != datagram.mReceivers.end();
        if (!isReceiver || node.mIsCut || mNodes[to].mIsCut ||
            (mLossPercent > 0 && mRandom() % 100 < mLossPercent)) {
          continue;
        }
        for (const PoisonObservation& observation :
             mNodes[to].mGossip->Receive(ValueOf(message), mNow)) {
          RigOf(to).mEngine.OnPoisonObservation(observation, mNow);
        }
        for (const PoisonConviction& conviction :
             ValueOf(message).mPoisonConvictions) {
          RigOf(to).mEngine.OnPoisonConviction(conviction, mNow);
        }
      }
    }
  }
}

void
PoisonFleet::Pass(Duration aTime)
{
  for (const Instant end = mNow + aTime; mNow < end;) {
    mNow += kStep;
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      RigOf(i).Pass(mNow - RigOf(i).mNow);
      Collect(i);
    }
    if (mHarmlessInterval.has_value() && mNow >= mNextHarmless) {
      mNextHarmless = mNow + *mHarmlessInterval;
      AskHarmless(mRandom() % std::min(mNodes.size(), kDirectNodes));
    }
    EndAttempts();
    BringTargetsBack();
    Gossip();
  }
}

PoisonFleet
RunDrawnDisturbances(std::uint32_t aSeed,
                     const std::vector<TenantName>& aTenants)
{
  std::mt19937 random(aSeed);
  const std::size_t nodes = 3 + random() % 6;
  const std::size_t targets = 4 + random() % 9;
  const PoisonFleet::Comeback comeback = random() % 2 == 0
                                           ? PoisonFleet::Comeback::NewName
                                           : PoisonFleet::Comeback::SameName;
  PoisonFleet fleet(nodes, targets, comeback);
  fleet.SetHarmlessInterval(milliseconds(10 + random() % 40));
  for (const TenantName& tenant : aTenants) {
    fleet.Ask(random() % nodes, tenant);
  }
  for (Duration passed(0); passed < seconds(45);) {
    const std::size_t node = random() % nodes;
    switch (random() % 12) {
      case 0:
        fleet.Restart(node);
        break;
      case 1:
        if (fleet.IsCut(node)) {
          fleet.Heal(node);
        } else {
          fleet.Cut(node);
        }
        break;
      case 2:
        fleet.mLossPercent = random() % 3 * 15;
        break;
      case 3:
        fleet.LoseConnections(node, 30);
        break;
      case 4:
        fleet.mTimeToCrash = milliseconds(5 + random() % 2 * 145);
        break;
      default:
        fleet.Ask(node, aTenants[random() % aTenants.size()]);
    }
    const Duration pause = milliseconds(random() % 500);
    fleet.Pass(pause);
    passed += pause;
  }
  return fleet;
}

} // namespace verbenachute
