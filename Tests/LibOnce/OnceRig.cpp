#include "OnceRig.h"

#include <LibOnce/OnceOutcome.h>

namespace verbenachute {

OnceRig::OnceRig(std::size_t aNodes, OnceTable::Settings aSettings)
  : mSettings(aSettings)
  , mNodes(aNodes)
{
  for (std::size_t i = 0; i < aNodes; ++i) {
    mNodes[i].mIdentity.mName = NodeName("n" + std::to_string(i));
    mNodes[i].mCondition = Condition::Down;
    Restart(i);
  }
}

std::optional<NodeIdentity>
OnceRig::TicketOf(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  if (node.mCondition != Condition::Running) {
    return std::nullopt;
  }
  return node.mTable->CurrentTicket(mNow);
}

std::size_t
OnceRig::Send(std::size_t aNode,
              std::uint64_t aId,
              const NodeIdentity& aTicket,
              Duration aTimeLeft,
              std::uint64_t aBody)
{
  const std::size_t sending = mSendings.size();
  mSendings.push_back(Sending{ aNode, aId, aTicket, aBody, mNow + aTimeLeft });
  mEvents.emplace(mNow + kHop, [this, aNode, sending]() {
    if (mNodes[aNode].mCondition == Condition::Down) {
      mSendings[sending].mLost = true;
      return;
    }
    ToLife(
      aNode, mNodes[aNode].mIdentity.mIncarnation, [this, aNode, sending]() {
        Take(aNode,
             RequestOf(sending, OnceOrigin::Caller),
             sending,
             [this, aNode, sending](const QueryOutcome& aOutcome) {
               AnswerSending(aNode, sending, aOutcome);
             });
      });
  });
  return sending;
}

void
OnceRig::Kill(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mCondition = Condition::Down;
  node.mTable.reset();
  node.mBacklog.clear();
  node.mRuns.clear();
  node.mRelays.clear();
  node.mWaiters.clear();
  node.mLosesReplies = false;
  node.mTicks = false;
  for (Sending& sending : mSendings) {
    sending.mLost |= sending.mNode == aNode && sending.mAnswers == 0;
  }
}

void
OnceRig::Restart(std::size_t aNode)
{
  Kill(aNode);
  Node& node = mNodes[aNode];
  // Incarnations are times of start in milliseconds.
  node.mIdentity.mIncarnation = Incarnation(static_cast<std::uint64_t>(
    std::chrono::duration_cast<milliseconds>(mNow.time_since_epoch()).count()));
  node.mCondition = Condition::Running;
  node.mTable.emplace(node.mIdentity, mSettings, mNow);
}

void
OnceRig::Freeze(std::size_t aNode)
{
  if (mNodes[aNode].mCondition == Condition::Running) {
    mNodes[aNode].mCondition = Condition::Frozen;
  }
}

void
OnceRig::Thaw(std::size_t aNode)
{
  if (mNodes[aNode].mCondition != Condition::Frozen) {
    return;
  }
  mNodes[aNode].mCondition = Condition::Running;
  const std::vector<std::function<void()>> backlog =
    std::exchange(mNodes[aNode].mBacklog, {});
  for (const std::function<void()>& work : backlog) {
    work();
  }
}

void
OnceRig::Cut(std::size_t aFrom, std::size_t aTo)
{
  mCuts.emplace(aFrom, aTo);
}

void
OnceRig::Heal(std::size_t aFrom, std::size_t aTo)
{
  mCuts.erase({ aFrom, aTo });
}

void
OnceRig::LoseReplies(std::size_t aNode)
{
  mNodes[aNode].mLosesReplies = true;
}

void
OnceRig::RunFor(Duration aTime)
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
OnceRig::ToLife(std::size_t aNode,
                Incarnation aLife,
                const std::function<void()>& aWork)
{
  Node& node = mNodes[aNode];
  if (node.mCondition == Condition::Down ||
      node.mIdentity.mIncarnation != aLife) {
    return;
  }
  if (node.mCondition == Condition::Frozen) {
    node.mBacklog.push_back(aWork);
    return;
  }
  aWork();
}

void
OnceRig::At(Instant aTime, std::size_t aNode, std::function<void()> aWork)
{
  const Incarnation life = mNodes[aNode].mIdentity.mIncarnation;
  mEvents.emplace(aTime, [this, aNode, life, work = std::move(aWork)]() {
    ToLife(aNode, life, work);
  });
}

OnceRequest
OnceRig::RequestOf(std::size_t aSending, OnceOrigin aOrigin) const
{
  const Sending& sending = mSendings[aSending];
  OnceRequest request;
  request.mKey = { CallerId("c"), RequestId(std::to_string(sending.mId)) };
  request.mFingerprint = Fingerprint(sending.mBody);
  request.mTicket = sending.mTicket;
  request.mOrigin = aOrigin;
  request.mTimeLeft = sending.mDeadline - mNow;
  return request;
}

void
OnceRig::Take(std::size_t aNode,
              OnceRequest aRequest,
              std::size_t aSending,
              const std::function<void(const QueryOutcome&)>& aReply)
{
  Node& node = mNodes[aNode];
  aRequest.mWaiter = WaiterId(mNextNumber++);
  const OnceDecision decision = node.mTable->Decide(aRequest, mNow);
  if (std::holds_alternative<OnceRelayTo>(decision)) {
    StartRelay(aNode, aSending);
  } else if (const OnceReplay* replay = std::get_if<OnceReplay>(&decision)) {
    aReply(replay->mOutcome);
  } else if (const OnceRefuse* refuse = std::get_if<OnceRefuse>(&decision)) {
    aReply(refuse->mRefusal);
  } else {
    node.mWaiters.emplace(aRequest.mWaiter, aReply);
    if (std::holds_alternative<OnceRun>(decision)) {
      StartRun(aNode, aRequest.mKey, aSending);
    }
  }
  KeepTicking(aNode);
}

void
OnceRig::StartRun(std::size_t aNode, const OnceKey& aKey, std::size_t aSending)
{
  const Sending& sending = mSendings[aSending];
  mNodes[aNode].mRuns.insert_or_assign(
    aKey,
    Run{ sending.mId, sending.mTicket, sending.mBody, sending.mDeadline });
  At(mNow + kQueueAtHome, aNode, [this, aNode, aKey]() {
    Dispatch(aNode, aKey);
  });
}

void
OnceRig::Dispatch(std::size_t aNode, const OnceKey& aKey)
{
  const auto run = mNodes[aNode].mRuns.find(aKey);
  if (run == mNodes[aNode].mRuns.end() || run->second.mDispatched) {
    return;
  }
  if (mNow >= run->second.mDeadline) {
    FinishRun(
      aNode,
      aKey,
      OnceRefusal(
        aKey.mRequest, ErrorCode::DeadlinePassed, Execution::NotRun, "", ""));
    return;
  }
  run->second.mDispatched = true;
  ++mExecutions[{ run->second.mId, run->second.mTicket, run->second.mBody }];
  At(mNow + kRunAtTarget, aNode, [this, aNode, aKey]() {
    QueryAnswer answer;
    answer.mRequest = aKey.mRequest;
    FinishRun(aNode, aKey, answer);
  });
}

void
OnceRig::FinishRun(std::size_t aNode,
                   const OnceKey& aKey,
                   const QueryOutcome& aOutcome)
{
  Node& node = mNodes[aNode];
  if (node.mRuns.erase(aKey) == 0) {
    return;
  }
  for (const WaiterId& waiter : node.mTable->Finish(aKey, aOutcome, mNow)) {
    const auto found = node.mWaiters.find(waiter);
    const std::function<void(const QueryOutcome&)> reply = found->second;
    node.mWaiters.erase(found);
    reply(aOutcome);
  }
}

void
OnceRig::StartRelay(std::size_t aNode, std::size_t aSending)
{
  const Sending& sending = mSendings[aSending];
  const std::uint64_t number = mNextNumber++;
  Relay& relay =
    mNodes[aNode]
      .mRelays
      .emplace(number,
               Relay{ OnceRelay(RequestId(std::to_string(sending.mId)),
                                sending.mTicket,
                                sending.mDeadline),
                      aSending })
      .first->second;
  const Node& home = mNodes[IndexOf(sending.mTicket.mName)];
  const RelayAction action =
    relay.mMachine.Start(home.mIdentity, OnceRelay::HomeLink::Ready, mNow);
  if (std::holds_alternative<RelaySend>(action)) {
    SendRelayed(aNode, number);
    return;
  }
  OnRelayAction(aNode, number, action);
}

void
OnceRig::SendRelayed(std::size_t aFrom, std::uint64_t aRelay)
{
  const std::size_t sending = mNodes[aFrom].mRelays.at(aRelay).mSending;
  const std::size_t home = IndexOf(mSendings[sending].mTicket.mName);
  const Incarnation relayLife = mNodes[aFrom].mIdentity.mIncarnation;
  if (mCuts.contains({ aFrom, home })) {
    return;
  }
  // The message reaches whichever life has the address when it arrives.
  mEvents.emplace(mNow + kHop, [=, this]() {
    if (mNodes[home].mCondition == Condition::Down) {
      ToLife(aFrom, relayLife, [=, this]() {
        const auto relay = mNodes[aFrom].mRelays.find(aRelay);
        if (relay != mNodes[aFrom].mRelays.end()) {
          OnRelayAction(aFrom, aRelay, relay->second.mMachine.OnLinkLost());
        }
      });
      return;
    }
    const std::function<void(const QueryOutcome&)> reply =
      [=, this](const QueryOutcome& aOutcome) {
        if (mCuts.contains({ home, aFrom })) {
          return;
        }
        mEvents.emplace(mNow + kHop, [=, this]() {
          ToLife(aFrom, relayLife, [=, this]() {
            const auto relay = mNodes[aFrom].mRelays.find(aRelay);
            if (relay != mNodes[aFrom].mRelays.end()) {
              OnRelayAction(
                aFrom, aRelay, relay->second.mMachine.OnReply(aOutcome));
            }
          });
        });
      };
    ToLife(home, mNodes[home].mIdentity.mIncarnation, [=, this]() {
      Take(home, RequestOf(sending, OnceOrigin::Peer), sending, reply);
    });
  });
}

void
OnceRig::OnRelayAction(std::size_t aNode,
                       std::uint64_t aRelay,
                       const RelayAction& aAction)
{
  const RelayAnswer* answer = std::get_if<RelayAnswer>(&aAction);
  if (answer == nullptr) {
    return;
  }
  const std::size_t sending = mNodes[aNode].mRelays.at(aRelay).mSending;
  mNodes[aNode].mRelays.erase(aRelay);
  AnswerSending(aNode, sending, answer->mOutcome);
}

void
OnceRig::AnswerSending(std::size_t aNode,
                       std::size_t aSending,
                       const QueryOutcome& aOutcome)
{
  Sending& sending = mSendings[aSending];
  ++sending.mAnswers;
  if (!mNodes[aNode].mLosesReplies) {
    sending.mOutcome = ExecutionOf(aOutcome);
  }
}

void
OnceRig::KeepTicking(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  const bool hasWork =
    !node.mRuns.empty() || !node.mRelays.empty() || !node.mWaiters.empty();
  if (hasWork && !node.mTicks) {
    node.mTicks = true;
    At(mNow + kTickPeriod, aNode, [this, aNode]() { Tick(aNode); });
  }
}

void
OnceRig::Tick(std::size_t aNode)
{
  Node& node = mNodes[aNode];
  node.mTicks = false;
  for (const WaiterId& waiter : node.mTable->Tick(mNow)) {
    const auto found = node.mWaiters.find(waiter);
    const std::function<void(const QueryOutcome&)> reply = found->second;
    node.mWaiters.erase(found);
    reply(OnceRefusal(RequestId(),
                      ErrorCode::DeadlinePassed,
                      Execution::OutcomeUnknown,
                      "",
                      ""));
  }
  std::vector<std::uint64_t> relays;
  for (const auto& [number, relay] : node.mRelays) {
    relays.push_back(number);
  }
  for (const std::uint64_t number : relays) {
    OnRelayAction(aNode, number, node.mRelays.at(number).mMachine.Tick(mNow));
  }
  std::vector<std::pair<OnceKey, Execution>> late;
  for (const auto& [key, run] : node.mRuns) {
    if (mNow >= run.mDeadline) {
      late.emplace_back(
        key, run.mDispatched ? Execution::OutcomeUnknown : Execution::NotRun);
    }
  }
  for (const auto& [key, execution] : late) {
    FinishRun(
      aNode,
      key,
      OnceRefusal(key.mRequest, ErrorCode::DeadlinePassed, execution, "", ""));
  }
  KeepTicking(aNode);
}

std::size_t
OnceRig::IndexOf(const NodeName& aName) const
{
  return std::stoul(aName.value().substr(1));
}

std::optional<Execution>
OnceRig::OutcomeOf(std::size_t aSending) const
{
  return mSendings[aSending].mOutcome;
}

std::size_t
OnceRig::Executions(std::uint64_t aId) const
{
  std::size_t executions = 0;
  for (const auto& [key, count] : mExecutions) {
    executions += std::get<0>(key) == aId ? static_cast<std::size_t>(count) : 0;
  }
  return executions;
}

std::string
OnceRig::Violation() const
{
  for (const Sending& sending : mSendings) {
    const std::string name = "request " + std::to_string(sending.mId);
    if (Executions(sending.mId) > 1) {
      return name + " ran twice";
    }
    if (sending.mAnswers > 1) {
      return name + " was answered twice";
    }
    const bool ran =
      mExecutions.contains({ sending.mId, sending.mTicket, sending.mBody });
    if (sending.mOutcome == Execution::NotRun && ran) {
      return name + " was called 'not run' and ran";
    }
    if (sending.mOutcome == Execution::Ran && Executions(sending.mId) == 0) {
      return name + " was called 'ran' and did not";
    }
  }
  return "";
}

std::string
OnceRig::Unanswered() const
{
  for (const Sending& sending : mSendings) {
    if (sending.mAnswers == 0 && !sending.mLost &&
        mNow > sending.mDeadline + seconds(1) &&
        mNodes[sending.mNode].mCondition == Condition::Running) {
      return "request " + std::to_string(sending.mId) + " was not answered";
    }
  }
  return "";
}

} // namespace verbenachute
