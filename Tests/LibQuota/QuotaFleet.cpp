#include "QuotaFleet.h"

#include <LibCore/RendezvousHash.h>

#include <algorithm>

namespace verbenachute {

namespace {

constexpr Duration kGossipPeriod = milliseconds(250);
// A node that is silent for longer counts as failed.
constexpr Duration kSilence = milliseconds(1000);
constexpr std::size_t kCandidates = 8;

} // namespace

QuotaFleet::QuotaFleet(std::size_t aNodes,
                       const Quota& aQuota,
                       std::uint64_t aSeed)
  : mNodes(aNodes)
  , mQuota(aQuota)
  , mNow(seconds(1000))
  , mRandom(aSeed)
{
  for (std::size_t node = 0; node < aNodes; ++node) {
    Reset(node);
  }
  Gossip();
}

NodeName
QuotaFleet::NameOf(std::size_t aNode)
{
  return NodeName("n" + std::to_string(1000 + aNode));
}

void
QuotaFleet::Reset(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mOwners = std::make_unique<QuotaOwners>(mNow);
  node.mLedger = std::make_unique<QuotaLedger>(kRule);
  node.mGate = std::make_unique<QuotaGate>(
    *node.mOwners, QuotaRequestNumber(++node.mIncarnation << 20));
  node.mHeard.clear();
  node.mIsRunning = true;
}

bool
QuotaFleet::Reaches(std::size_t aFrom, std::size_t aTo) const
{
  return mOnePart.contains(aFrom) == mOnePart.contains(aTo);
}

void
QuotaFleet::After(Duration aDelay, Event aEvent)
{
  mEvents.emplace(mNow + aDelay, std::move(aEvent));
}

void
QuotaFleet::Deliver(std::size_t aFrom, std::size_t aTo, Event aEvent)
{
  std::uniform_real_distribution<double> chance(0, 1);
  if (!Reaches(aFrom, aTo) || chance(mRandom) < mLossRate) {
    return;
  }
  const Duration delay = microseconds(1400 + mRandom() % 2000);
  const std::uint64_t incarnation = mNodes[aTo].mIncarnation;
  After(delay, [this, aTo, incarnation, event = std::move(aEvent)]() {
    Node& node = mNodes[aTo];
    if (!node.mIsRunning || node.mIncarnation != incarnation) {
      return;
    }
    if (node.mStalledUntil > mNow) {
      After(node.mStalledUntil - mNow, event);
      return;
    }
    event();
  });
}

void
QuotaFleet::Gossip()
{
  for (std::size_t from = 0; from < mNodes.size(); ++from) {
    for (std::size_t to = 0; to < mNodes.size(); ++to) {
      if (from != to && mNodes[from].mIsRunning && mNodes[to].mIsRunning &&
          Reaches(from, to)) {
        Deliver(
          from, to, [this, from, to]() { mNodes[to].mHeard[from] = mNow; });
      }
    }
  }
  for (std::size_t self = 0; self < mNodes.size(); ++self) {
    Node& node = mNodes[self];
    const auto isAlive = [&](std::size_t aOther) {
      const auto heard = node.mHeard.find(aOther);
      return aOther == self ||
             (heard != node.mHeard.end() && mNow - heard->second <= kSilence);
    };
    std::vector<NodeName> candidates;
    for (std::size_t other = 0;
         other < mNodes.size() && candidates.size() < kCandidates;
         ++other) {
      if (isAlive(other)) {
        candidates.push_back(NameOf(other));
      }
    }
    node.mOwners->Update(
      candidates,
      [&](const NodeName& aName) {
        return isAlive(std::stoul(aName.value().substr(1)) - 1000);
      },
      mNow);
  }
  After(kGossipPeriod, [this]() { Gossip(); });
}

void
QuotaFleet::Perform(std::size_t aNode, const QuotaActions& aActions)
{
  for (const QuotaAction& action : aActions) {
    if (const QuotaDecisionAction* decision =
          std::get_if<QuotaDecisionAction>(&action)) {
      mCounts.mGranted += decision->mDecision == QuotaDecision::Granted;
      mCounts.mDenied += decision->mDecision == QuotaDecision::Denied;
      mCounts.mUnknown += decision->mDecision == QuotaDecision::Unknown;
      if (decision->mDecision == QuotaDecision::Granted) {
        mGrants.push_back(mNow);
      }
      continue;
    }
    const SendQuotaRequestAction& send =
      std::get<SendQuotaRequestAction>(action);
    const std::size_t owner = std::stoul(send.mNode.value().substr(1)) - 1000;
    const QuotaRequest request = send.mRequest;
    const auto grant = [this, aNode, owner, request]() {
      Node& granting = mNodes[owner];
      const QuotaView view{ granting.mOwners->VisibleFraction(mNow),
                            granting.mOwners->AreStableFor(kRule.mWindow,
                                                           mNow) };
      const QuotaReply reply = granting.mLedger->Answer(
        SocketAddress{ NameOf(aNode).value(), 1 }, request, mQuota, view, mNow);
      if (owner == aNode) {
        Perform(aNode, mNodes[aNode].mGate->OnReply(reply, mNow));
        return;
      }
      Deliver(owner, aNode, [this, aNode, reply]() {
        Perform(aNode, mNodes[aNode].mGate->OnReply(reply, mNow));
      });
    };
    if (owner == aNode) {
      grant();
    } else {
      Deliver(aNode, owner, grant);
    }
  }
  const std::optional<Instant> next = mNodes[aNode].mGate->NextWake();
  if (next.has_value()) {
    const std::uint64_t incarnation = mNodes[aNode].mIncarnation;
    After(*next - mNow, [this, aNode, incarnation]() {
      if (mNodes[aNode].mIncarnation == incarnation &&
          mNodes[aNode].mIsRunning) {
        const QuotaActions due = mNodes[aNode].mGate->OnTime(mNow);
        if (!due.empty()) {
          Perform(aNode, due);
        }
      }
    });
  }
}

void
QuotaFleet::Request()
{
  std::vector<std::size_t> running;
  for (std::size_t node = 0; node < mNodes.size(); ++node) {
    if (mNodes[node].mIsRunning) {
      running.push_back(node);
    }
  }
  if (running.empty()) {
    return;
  }
  const std::size_t node = running[mRandom() % running.size()];
  QuotaActions actions;
  static_cast<void>(mNodes[node].mGate->Request(mTenant, &actions, mNow));
  Perform(node, actions);
}

void
QuotaFleet::Run(Duration aTime, double aRequestsPerSecond)
{
  const Instant end = mNow + aTime;
  std::exponential_distribution<double> gap(
    std::max(aRequestsPerSecond, 0.001));
  const auto nextGap = [&]() {
    return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(gap(mRandom)));
  };
  Instant nextRequest = mNow + nextGap();
  while (mNow < end) {
    const Instant nextEvent =
      mEvents.empty() ? end : std::min(end, mEvents.begin()->first);
    if (nextRequest < nextEvent) {
      mNow = nextRequest;
      nextRequest += nextGap();
      Request();
      continue;
    }
    mNow = nextEvent;
    if (!mEvents.empty() && mEvents.begin()->first <= mNow) {
      const Event event = std::move(mEvents.begin()->second);
      mEvents.erase(mEvents.begin());
      event();
    }
  }
}

void
QuotaFleet::Split(const std::set<std::size_t>& aOnePart)
{
  mOnePart = aOnePart;
}

void
QuotaFleet::Kill(std::size_t aNode)
{
  mNodes[aNode].mIsRunning = false;
}

void
QuotaFleet::Start(std::size_t aNode)
{
  Reset(aNode);
}

void
QuotaFleet::Stall(std::size_t aNode, Duration aTime)
{
  mNodes[aNode].mStalledUntil = mNow + aTime;
}

std::size_t
QuotaFleet::Owner() const
{
  for (const Node& node : mNodes) {
    if (node.mIsRunning) {
      return std::stoul(
               node.mOwners->At(mTenant, 0).value().value().substr(1)) -
             1000;
    }
  }
  return 0;
}

QuotaFleet::Counts
QuotaFleet::TakeCounts()
{
  return std::exchange(mCounts, Counts());
}

std::size_t
QuotaFleet::MaximumInWindow() const
{
  std::size_t maximum = 0;
  std::size_t first = 0;
  for (std::size_t last = 0; last < mGrants.size(); ++last) {
    while (mGrants[last] - mGrants[first] >= kRule.mWindow) {
      ++first;
    }
    maximum = std::max(maximum, last - first + 1);
  }
  return maximum;
}

} // namespace verbenachute
