#include "GatherSimulation.h"

#include <LibCore/Overloaded.h>
#include <LibForward/RecordMerger.h>

#include <algorithm>
#include <doctest/doctest.h>

namespace verbenachute {

namespace {

constexpr const char* kHost = "h.example";
constexpr Duration kCallerTimeout = milliseconds(600);

FailureDomain
DomainOf(std::size_t aNode)
{
  return FailureDomain("d" + std::to_string(aNode));
}

NodeName
NameOf(std::size_t aNode)
{
  return NodeName("n" + std::to_string(aNode));
}

std::string
ShardOf(const std::string& aTarget)
{
  return aTarget.substr(0, aTarget.find('@'));
}

} // namespace

GatherSimulation::GatherSimulation(std::uint32_t aSeed)
  : mRandom(aSeed)
  , mNodes(kNodes)
{
  ServingPlan::Content content;
  content.mVersion = PlanVersion(1);
  Route route;
  route.mName = "gather";
  route.mHost = kHost;
  route.mPathPrefix = "/gather/";
  route.mRepeatPolicy = RepeatPolicy::Idempotent;
  route.mDeadline = kCallerTimeout;
  route.mLatencyObjective = milliseconds(100);
  route.mMaximumAttempts = 2;
  ShardSet shards;
  shards.mMaximumRecords = kMaximumRecords;
  shards.mMinimumCoverage = 0.5;
  for (std::size_t i = 0; i < kShards; ++i) {
    shards.mShards.emplace_back("s" + std::to_string(i));
    ServiceSettings serviceSettings;
    serviceSettings.mName = shards.mShards.back();
    serviceSettings.mMaximumConnections = 26;
    content.mServices.push_back(serviceSettings);
  }
  route.mDestination = shards;
  content.mRoutes = { route };
  const ServingPlanPointer plan = std::make_shared<const ServingPlan>(content);
  for (std::size_t node = 0; node < kNodes; ++node) {
    ForwardSettings settings;
    settings.mDomain = DomainOf(node);
    settings.mBudgetLimits = AttemptBudgetLimits{ 0.2, 400, seconds(10) };
    settings.mFirstAttempt = AttemptId((node + 1) << 32);
    settings.mSeed = aSeed + node;
    mNodes[node].mEngine = std::make_unique<ForwardEngine>(settings);
    ForwardEngine& engine = *mNodes[node].mEngine;
    engine.SetPlan(plan);
    std::vector<PeerNode> peers;
    for (std::size_t peer = 0; peer < kNodes; ++peer) {
      if (peer != node) {
        peers.push_back(
          PeerNode{ NameOf(peer), DomainOf(peer), 250, PlanVersion(1) });
      }
    }
    engine.Peers().SetNodes(peers);
    // Two targets of each shard, in two adjacent domains.
    for (std::size_t shard = 0; shard < kShards; ++shard) {
      for (std::size_t replica = 0; replica < 2; ++replica) {
        ListedTarget target;
        const std::size_t domain = (shard + replica) % kNodes;
        target.mService = shards.mShards[shard];
        target.mName =
          TargetName(target.mService.value() + "@" + DomainOf(domain).value());
        target.mDomain = DomainOf(domain);
        target.mSlots = 2;
        engine.Targets().List(target, mNow);
      }
    }
  }
}

Duration
GatherSimulation::RandomDuration(int aLeast, int aMost)
{
  return milliseconds(
    aLeast +
    static_cast<int>(mRandom() % static_cast<unsigned>(aMost - aLeast + 1)));
}

bool
GatherSimulation::Chance(unsigned aPercent)
{
  return mRandom() % 100 < aPercent;
}

std::string
GatherSimulation::BodyOf(const std::string& aSignature)
{
  // Two records that are derived from the signature, so that the merged records
  // can be recomputed from the signatures of an answer.
  const std::size_t hash = std::hash<std::string>()(aSignature);
  std::string body;
  for (const std::size_t salt : { std::size_t{ 1 }, std::size_t{ 77777 } }) {
    std::string record =
      std::to_string(hash * salt) + std::string(kRecordBytes, '.');
    body += record.substr(0, kRecordBytes);
  }
  return body;
}

void
GatherSimulation::Schedule(Duration aDelay, Task aTask)
{
  mTasks.emplace(mNow + aDelay, std::move(aTask));
}

void
GatherSimulation::ScheduleAtNode(std::size_t aNode, Duration aDelay, Task aTask)
{
  Schedule(aDelay, [this, aNode, task = std::move(aTask)]() {
    if (mNow < mNodes[aNode].mFrozenUntil) {
      ScheduleAtNode(aNode, mNodes[aNode].mFrozenUntil - mNow, task);
      return;
    }
    task();
  });
}

void
GatherSimulation::Run(std::size_t aRequests)
{
  for (std::size_t i = 0; i < aRequests; ++i) {
    Submit();
    if (Chance(3)) {
      mNodes[mRandom() % kNodes].mFrozenUntil = mNow + RandomDuration(20, 900);
    }
    if (Chance(3)) {
      BreakLinks(mRandom() % kNodes);
    }
    RunUntil(mNow + RandomDuration(0, 12));
  }
  RunUntil(mNow + seconds(5));
  for (const Node& node : mNodes) {
    CHECK(node.mCallers.empty());
    CHECK(node.mEngine->RunningRequests() == 0);
    CHECK(node.mOpen.empty());
  }
}

void
GatherSimulation::RunUntil(Instant aEnd)
{
  while (mNow < aEnd) {
    Instant next = aEnd;
    if (!mTasks.empty()) {
      next = std::min(next, mTasks.begin()->first);
    }
    for (const Node& node : mNodes) {
      const std::optional<Instant> wake = node.mEngine->NextWake();
      if (wake.has_value()) {
        next = std::min(next, std::max(*wake, node.mFrozenUntil));
      }
    }
    mNow = std::max(mNow, next);
    while (!mTasks.empty() && mTasks.begin()->first <= mNow) {
      const Task task = std::move(mTasks.begin()->second);
      mTasks.erase(mTasks.begin());
      task();
    }
    WakeAll();
  }
}

void
GatherSimulation::WakeAll()
{
  for (std::size_t node = 0; node < kNodes; ++node) {
    if (mNow >= mNodes[node].mFrozenUntil) {
      Take(node, mNodes[node].mEngine->OnTime(mNow));
    }
  }
}

void
GatherSimulation::Submit()
{
  const std::size_t node = mRandom() % kNodes;
  const std::string id = "r" + std::to_string(mNextRequest++);
  CallerRequest request;
  request.mId = RequestId(id);
  request.mMethod = "GET";
  request.mTarget = "/gather/" + id;
  request.mHost = kHost;
  request.mTimeLimit = kCallerTimeout;
  const bool willDisconnect = Chance(10);
  const Duration disconnectAfter = RandomDuration(1, 60);
  ScheduleAtNode(
    node,
    Duration(0),
    [this, node, id, request, willDisconnect, disconnectAfter]() mutable {
      const RequestNumber number(mNodes[node].mNextNumber++);
      request.mArrivalTime = mNow;
      mNodes[node].mCallers.emplace(number, id);
      Take(node,
           mNodes[node].mEngine->Submit(
             number, std::make_shared<const CallerRequest>(request), mNow));
      if (!willDisconnect) {
        return;
      }
      ScheduleAtNode(node, disconnectAfter, [this, node, number, id]() {
        if (mNodes[node].mCallers.erase(number) > 0) {
          mDisconnected.insert(id);
          Take(node, mNodes[node].mEngine->OnCallerDisconnected(number, mNow));
        }
      });
    });
}

void
GatherSimulation::Take(std::size_t aNode, const ForwardActions& aActions)
{
  for (const ForwardAction& action : aActions) {
    std::visit(
      Overloaded{
        [&](const SendAction& aSend) { OnSend(aNode, aSend); },
        [&](const CancelAction& aCancel) {
          mNodes[aNode].mOpen.erase(aCancel.mAttempt);
        },
        [&](const AnswerAction& aAnswer) { OnAnswer(aNode, aAnswer); },
        [&](const DelegateAction& aDelegate) { OnDelegate(aNode, aDelegate); },
        [&](const CancelDelegationAction& aCancellation) {
          OnCancelDelegation(aNode, aCancellation);
        },
        [&](const ReportAction& aReport) { OnReport(aNode, aReport); } },
      action);
  }
}

void
GatherSimulation::OnSend(std::size_t aNode, const SendAction& aSend)
{
  const std::string id = aSend.mRequest->mId.value();
  const std::string target = aSend.mTarget.value();
  std::vector<std::string>& runs = mTargetsAsked[{ id, ShardOf(target) }];
  ++mSends;
  // The target that a silent peer has asked may differ from the one that the
  // delegating node presumes; only then a target is asked twice.
  mRepeatedSends += std::count(runs.begin(), runs.end(), target) > 0 ? 1 : 0;
  runs.push_back(target);
  // The attempts of both nodes together do not exceed the limit of the route.
  CHECK(runs.size() <= 2);
  const AttemptId attempt = aSend.mAttempt;
  mNodes[aNode].mOpen.insert(attempt);
  const unsigned roll = mRandom() % 100;
  const Duration work =
    roll < 8 ? RandomDuration(40, 160) : RandomDuration(4, 15);
  ScheduleAtNode(aNode, work, [this, aNode, id, target, attempt, roll]() {
    Node& node = mNodes[aNode];
    if (node.mOpen.erase(attempt) == 0) {
      return;
    }
    if (roll >= 96) {
      const AttemptFailure failure = roll == 99 ? AttemptFailure::NotSent
                                     : roll == 98
                                       ? AttemptFailure::MalformedResponse
                                       : AttemptFailure::ConnectionLost;
      Take(aNode, node.mEngine->OnFailure(attempt, failure, mNow));
      return;
    }
    PartReply reply;
    reply.mKind = roll >= 92 ? ReplyKind::Declined : ReplyKind::Answered;
    reply.mStatus = roll >= 92 ? 503 : 200;
    reply.mSignature = roll >= 92 ? "" : id + "/" + target;
    reply.mBody = BodyOf(reply.mSignature);
    Take(aNode, node.mEngine->OnReply(attempt, reply, mNow));
  });
}

void
GatherSimulation::OnDelegate(std::size_t aNode, const DelegateAction& aDelegate)
{
  ++mDelegations;
  std::size_t peer = 0;
  while (NameOf(peer) != aDelegate.mPeer) {
    ++peer;
  }
  const DelegationNumber number = aDelegate.mDelegation;
  mNodes[aNode].mSentDelegations.emplace(number, std::pair(peer, std::nullopt));
  const DelegationRequest request = aDelegate.mDelegationRequest;
  const Instant sent = mNow;
  ScheduleAtNode(
    peer, RandomDuration(1, 3), [this, aNode, peer, number, request, sent]() {
      const auto open = mNodes[aNode].mSentDelegations.find(number);
      if (open == mNodes[aNode].mSentDelegations.end()) {
        // The delegation was cancelled, or its link broke, before it arrived.
        return;
      }
      const RequestNumber assignedNumber(1'000'000 +
                                         mNodes[peer].mNextNumber++);
      open->second.second = assignedNumber;
      mNodes[peer].mReceivedDelegations.emplace(assignedNumber,
                                                std::pair(aNode, number));
      DelegationRequest arrived = request;
      arrived.mTimeLeft -= mNow - sent;
      Take(
        peer,
        mNodes[peer].mEngine->SubmitDelegation(assignedNumber, arrived, mNow));
    });
}

void
GatherSimulation::OnCancelDelegation(
  std::size_t aNode,
  const CancelDelegationAction& aCancellation)
{
  const auto open =
    mNodes[aNode].mSentDelegations.find(aCancellation.mDelegation);
  if (open == mNodes[aNode].mSentDelegations.end()) {
    return;
  }
  const std::size_t peer = open->second.first;
  const std::optional<RequestNumber> peerNumber = open->second.second;
  mNodes[aNode].mSentDelegations.erase(open);
  if (!peerNumber.has_value()) {
    return;
  }
  const CancelReason reason = aCancellation.mReason;
  ScheduleAtNode(
    peer, RandomDuration(1, 3), [this, peer, peerNumber, reason]() {
      if (mNodes[peer].mReceivedDelegations.erase(*peerNumber) > 0) {
        Take(peer,
             mNodes[peer].mEngine->OnDelegationCancelled(
               *peerNumber, reason, mNow));
      }
    });
}

void
GatherSimulation::OnReport(std::size_t aNode, const ReportAction& aReport)
{
  const auto delegation =
    mNodes[aNode].mReceivedDelegations.find(aReport.mNumber);
  if (delegation == mNodes[aNode].mReceivedDelegations.end()) {
    return;
  }
  const std::pair<std::size_t, DelegationNumber> asked = delegation->second;
  if (aReport.mIsFinal) {
    mNodes[aNode].mReceivedDelegations.erase(delegation);
  }
  const DelegationResponse answer = aReport.mAnswer;
  const bool last = aReport.mIsFinal;
  // All reports have the same delay, so that they stay in order.
  ScheduleAtNode(asked.first, milliseconds(2), [this, asked, answer, last]() {
    Node& node = mNodes[asked.first];
    if (!node.mSentDelegations.contains(asked.second)) {
      return;
    }
    if (last) {
      node.mSentDelegations.erase(asked.second);
    }
    Take(asked.first,
         node.mEngine->OnDelegationResponse(asked.second, answer, mNow));
  });
}

void
GatherSimulation::BreakLinks(std::size_t aNode)
{
  const auto sent = std::exchange(mNodes[aNode].mSentDelegations, {});
  for (const auto& open : sent) {
    const bool arrived = open.second.second.has_value();
    if (arrived) {
      const std::size_t peer = open.second.first;
      const RequestNumber peerNumber = *open.second.second;
      ScheduleAtNode(peer, Duration(0), [this, peer, peerNumber]() {
        if (mNodes[peer].mReceivedDelegations.erase(peerNumber) > 0) {
          Take(peer,
               mNodes[peer].mEngine->OnDelegationCancelled(
                 peerNumber, CancelReason::CallerDisconnected, mNow));
        }
      });
    }
    const DelegationNumber number = open.first;
    ScheduleAtNode(aNode, Duration(0), [this, aNode, number, arrived]() {
      Take(aNode,
           mNodes[aNode].mEngine->OnDelegationFailure(
             number,
             arrived ? AttemptFailure::ConnectionLost : AttemptFailure::NotSent,
             mNow));
    });
  }
}

void
GatherSimulation::OnAnswer(std::size_t aNode, const AnswerAction& aAnswer)
{
  const auto caller = mNodes[aNode].mCallers.find(aAnswer.mNumber);
  REQUIRE(caller != mNodes[aNode].mCallers.end());
  const std::string id = caller->second;
  mNodes[aNode].mCallers.erase(caller);
  CHECK(mAnswered.insert(id).second);
  CHECK(!mDisconnected.contains(id));
  const GatheredOutcome* outcome =
    std::get_if<GatheredOutcome>(&aAnswer.mOutcome);
  if (outcome == nullptr) {
    ++mOtherOutcomes;
    return;
  }
  ++(outcome->mMissingParts == 0 ? mComplete : mPartial);
  CHECK(outcome->mSignatures.size() + outcome->mMissingParts == kShards);
  std::set<std::string> shards;
  std::vector<std::string> bodies;
  for (const std::string& signature : outcome->mSignatures) {
    const std::size_t slash = signature.find('/');
    CHECK(signature.substr(0, slash) == id);
    CHECK(shards.insert(ShardOf(signature.substr(slash + 1))).second);
    bodies.push_back(BodyOf(signature));
  }
  const std::vector<std::string_view> parts(bodies.begin(), bodies.end());
  CHECK(outcome->mRecords == MergeTopRecords(parts, kMaximumRecords));
}

} // namespace verbenachute
