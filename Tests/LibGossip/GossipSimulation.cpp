#include "GossipSimulation.h"
#include "SimulatedNode.h"

#include <LibGossip/GossipCodec.h>

#include <algorithm>
#include <doctest/doctest.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kStep = milliseconds(10);
// Datagrams that the socket of a process keeps while it does not read.
constexpr std::size_t kSocketCapacity = 250;
constexpr std::size_t kDomains = 3;

NodeStatus
StatusOf(std::size_t aNode, std::uint64_t aIncarnation)
{
  return SimulatedNodeStatus(aNode, aIncarnation, kDomains);
}

} // namespace

GossipSimulation::GossipSimulation(const Setup& aSetup)
  : mDirectNodes(aSetup.mDirectNodes)
  , mNodes(aSetup.mNodes)
  , mRandom(aSetup.mSeed)
{
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    mAddresses.emplace(StatusOf(i, 0).mPeerAddress, i);
  }
  for (std::size_t i = 0; i < mNodes.size(); ++i) {
    Start(i);
  }
}

void
GossipSimulation::Start(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  GossipTable::Settings settings;
  settings.mSeed = mRandom();
  node.mTable = std::make_unique<GossipTable>(
    settings, StatusOf(aNode, ++node.mIncarnation));
  // The store lists the addresses of all nodes.
  for (const auto& address : mAddresses) {
    node.mTable->AddSeed(address.first);
  }
  node.mIsPaused = false;
  node.mWaiting.clear();
  node.mClockStart = mNow - milliseconds(mRandom() % 3000);
  node.mDisturbed = mNow;
  RunRound(aNode);
  node.mNextRound = mNow + kStep * (mRandom() % 25);
}

void
GossipSimulation::Kill(std::size_t aNode)
{
  mNodes[aNode].mTable.reset();
  mNodes[aNode].mEnded = mNow;
}

void
GossipSimulation::Restart(std::size_t aNode)
{
  Kill(aNode);
  Start(aNode);
}

void
GossipSimulation::Pause(std::size_t aNode)
{
  mNodes[aNode].mIsPaused = true;
}

void
GossipSimulation::Continue(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mIsPaused = false;
  node.mDisturbed = mNow;
  // Whether the loop turns to its timers or to its sockets first is open.
  const bool roundFirst = mRandom() % 2 == 0;
  if (roundFirst) {
    RunRound(aNode);
  }
  for (GossipMessage& message : std::exchange(node.mWaiting, {})) {
    Read(aNode, std::move(message));
  }
}

void
GossipSimulation::Announce(std::size_t aNode)
{
  Send(aNode,
       mNodes[aNode].mTable->Announce(AnnouncementScope::OwnDomain,
                                      ClockOf(aNode)));
}

void
GossipSimulation::SetRelease(std::size_t aNode, Release aRelease)
{
  mNodes[aNode].mRelease = aRelease;
}

bool
GossipSimulation::Names(std::size_t aNode, std::size_t aOther) const
{
  const std::vector<NodeStatus> serving = Serving(aNode);
  return std::any_of(
    serving.begin(), serving.end(), [&](const NodeStatus& aStatus) {
      return aStatus.mIdentity.mName == StatusOf(aOther, 0).mIdentity.mName;
    });
}

void
GossipSimulation::Send(std::size_t aNode,
                       const std::vector<GossipTable::Datagram>& aDatagrams)
{
  for (const GossipTable::Datagram& datagram : aDatagrams) {
    GossipMessage message = datagram.mMessage;
    if (mNodes[aNode].mRelease == Release::WithoutAges) {
      for (NodeStatus& status : message.mStatuses) {
        status.mAgeMs.reset();
      }
    }
    const std::shared_ptr<const std::string> bytes =
      std::make_shared<const std::string>(EncodeGossip(message));
    for (const SocketAddress& receiver : datagram.mReceivers) {
      const auto found = mAddresses.find(receiver);
      if (found != mAddresses.end() && mRandom() % 100 >= mLossPercent) {
        const Duration delay(mRandom() %
                             static_cast<unsigned>(mMaximumDelay.count()));
        mTransfers.push(Transfer{ mNow + delay, found->second, bytes });
      }
    }
  }
}

void
GossipSimulation::Deliver(const Transfer& aTransfer)
{
  Node& node = mNodes[aTransfer.mReceiver];
  if (node.mTable == nullptr) {
    return;
  }
  Result<GossipMessage> message = DecodeGossip(*aTransfer.mBytes);
  REQUIRE(!IsError(message));
  if (!node.mIsPaused) {
    Read(aTransfer.mReceiver, std::move(std::get<GossipMessage>(message)));
  } else if (node.mWaiting.size() < kSocketCapacity) {
    node.mWaiting.push_back(std::move(std::get<GossipMessage>(message)));
  }
}

void
GossipSimulation::Read(std::size_t aNode, GossipMessage aMessage)
{
  if (mNodes[aNode].mRelease == Release::WithoutAges) {
    for (NodeStatus& status : aMessage.mStatuses) {
      status.mAgeMs = 0;
    }
  }
  static_cast<void>(mNodes[aNode].mTable->Receive(aMessage, ClockOf(aNode)));
}

void
GossipSimulation::RunRound(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mTable->SetGossipRole(ChooseRole(aNode));
  Send(aNode, node.mTable->Round(ClockOf(aNode)));
  node.mNextRound = mNow + GossipTable::Settings().mPeriod;
  CheckNames(aNode);
}

GossipRole
GossipSimulation::ChooseRole(std::size_t aNode) const
{
  const NodeStatus& self = mNodes[aNode].mTable->Self();
  const std::vector<NodeStatus> serving = Serving(aNode);
  const std::size_t before = static_cast<std::size_t>(std::count_if(
    serving.begin(), serving.end(), [&](const NodeStatus& aOther) {
      return aOther.mDomain == self.mDomain &&
             aOther.mIdentity < self.mIdentity;
    }));
  return before < mDirectNodes ? GossipRole::Direct : GossipRole::Relayed;
}

void
GossipSimulation::CheckNames(std::size_t aNode)
{
  if (mNodes[aNode].mRelease != Release::Current ||
      mNow - mNodes[aNode].mDisturbed <= kContact) {
    return;
  }
  for (std::size_t other = 0; other < mNodes.size(); ++other) {
    const Duration ended = mNow - mNodes[other].mEnded;
    if (!IsRunning(other) && ended > kNamedTime && Names(aNode, other)) {
      mLateNames.push_back("n" + std::to_string(aNode) + " names n" +
                           std::to_string(other) + " after " +
                           std::to_string(ended / milliseconds(1)) + " ms");
    }
  }
}

void
GossipSimulation::Pass(Duration aTime)
{
  for (const Instant end = mNow + aTime; mNow < end; mNow += kStep) {
    while (!mTransfers.empty() && mTransfers.top().mArrival <= mNow) {
      const Transfer transfer = mTransfers.top();
      mTransfers.pop();
      Deliver(transfer);
    }
    for (std::size_t i = 0; i < mNodes.size(); ++i) {
      if (IsRunning(i) && !IsPaused(i) && mNodes[i].mNextRound <= mNow) {
        RunRound(i);
      }
    }
  }
}

} // namespace verbenachute
