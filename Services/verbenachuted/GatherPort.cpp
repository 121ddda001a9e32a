#include "GatherPort.h"

#include <LibGather/GatherCodec.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenachute {

namespace {

// The largest request of a caller that the users' limits allow is 256 KiB; a
// report of all shards of the planned size is about 100 KiB.
constexpr std::uint32_t kMostFrameBytes = 1024 * 1024;
// What a link that takes no bytes may hold back before orders are refused.
constexpr std::size_t kMostBacklog = 1024UL * 1024;
// Peers report within half of a latency objective; a link that has been silent
// for longer while an order waits has gone, even if nothing says so.
constexpr Duration kSilence = seconds(1);
constexpr Duration kSilenceCheck = milliseconds(250);
// More links than any domain's nodes would open.
constexpr std::size_t kMostIncoming = 1024;

} // namespace

GatherPort::GatherPort(EventLoop& aLoop, Hooks aHooks)
  : mLoop(aLoop)
  , mHooks(std::move(aHooks))
  , mSilenceTimer(aLoop, [this]() { CloseSilent(); })
{
}

Result<std::unique_ptr<GatherPort>>
GatherPort::Create(EventLoop& aLoop,
                   const std::optional<SocketAddress>& aAddress,
                   Hooks aHooks)
{
  std::unique_ptr<GatherPort> port(new GatherPort(aLoop, std::move(aHooks)));
  if (!aAddress.has_value()) {
    return port;
  }
  Result<std::unique_ptr<FrameListener>> listener =
    FrameListener::Create(aLoop, *aAddress, kMostFrameBytes);
  if (IsError(listener)) {
    return ErrorOf(listener);
  }
  port->mListener = TakeValue(std::move(listener));
  port->mListener->Accepted().connect(
    [self = port.get()](std::shared_ptr<FrameLink> aLink) {
      self->Accept(std::move(aLink));
    });
  return port;
}

GatherPort::Outgoing&
GatherPort::LinkTo(const SocketAddress& aAddress)
{
  const auto found = mOutgoing.find(aAddress);
  if (found != mOutgoing.end()) {
    return found->second;
  }
  Outgoing& outgoing = mOutgoing[aAddress];
  outgoing.mHeard = mLoop.Now();
  outgoing.mLink = FrameLink::Dial(mLoop, aAddress, kMostFrameBytes);
  outgoing.mLink->Connected().connect(
    [this, aAddress]() { mOutgoing.at(aAddress).mConnected = true; });
  outgoing.mLink->FrameArrived().connect(
    [this, aAddress](FrameKind aKind, const std::string& aPayload) {
      OnAnswerFrame(aAddress, aKind, aPayload);
    });
  outgoing.mLink->Closed().connect(
    [this, aAddress]() { CloseOutgoingSoon(aAddress); });
  return outgoing;
}

void
GatherPort::Delegate(const DelegateAction& aAction,
                     const SocketAddress& aAddress)
{
  Outgoing& outgoing = LinkTo(aAddress);
  const DelegationNumber number = aAction.mDelegation;
  if (outgoing.mLink->Backlog() > kMostBacklog) {
    mLoop.Defer(
      [this, number]() { mHooks.mFailed(number, AttemptFailure::NotSent); });
    return;
  }
  const Instant now = mLoop.Now();
  outgoing.mLink->Send(FrameKind::Gather,
                       EncodeGather(GatherOrder{
                         number, now.time_since_epoch(), aAction.mOrder }));
  outgoing.mOpen.emplace(number, now);
  mDelegations.emplace(number, aAddress);
  if (!mSilenceTimer.IsRunning()) {
    mSilenceTimer.Start(kSilenceCheck);
  }
}

void
GatherPort::Recall(const RecallAction& aAction)
{
  const auto found = mDelegations.find(aAction.mDelegation);
  if (found == mDelegations.end()) {
    return;
  }
  Outgoing& outgoing = mOutgoing.at(found->second);
  outgoing.mOpen.erase(aAction.mDelegation);
  outgoing.mLink->Send(
    FrameKind::Gather,
    EncodeGather(GatherRecall{ aAction.mDelegation, aAction.mReason }));
  mDelegations.erase(found);
}

void
GatherPort::OnAnswerFrame(const SocketAddress& aAddress,
                          FrameKind aKind,
                          const std::string& aPayload)
{
  Outgoing& outgoing = mOutgoing.at(aAddress);
  outgoing.mHeard = mLoop.Now();
  const Result<GatherMessage> message = DecodeGather(aPayload);
  const GatherAnswer* answer =
    IsError(message) ? nullptr : std::get_if<GatherAnswer>(&ValueOf(message));
  if (aKind != FrameKind::Gather || answer == nullptr) {
    ++mMalformed;
    CloseOutgoingSoon(aAddress);
    return;
  }
  if (!outgoing.mOpen.contains(answer->mNumber)) {
    return;
  }
  if (answer->mLast) {
    outgoing.mOpen.erase(answer->mNumber);
    mDelegations.erase(answer->mNumber);
  }
  mHooks.mAnswered(answer->mNumber, answer->mAnswer);
}

void
GatherPort::CloseOutgoingSoon(const SocketAddress& aAddress)
{
  // From the loop, since the link may be within its own callback, and the
  // caller of Delegate within the engine's actions. A new link may have taken
  // the place of this one by then.
  const FrameLink* link = mOutgoing.at(aAddress).mLink.get();
  mLoop.Defer([this, aAddress, link]() {
    const auto found = mOutgoing.find(aAddress);
    if (found != mOutgoing.end() && found->second.mLink.get() == link) {
      CloseOutgoing(aAddress);
    }
  });
}

void
GatherPort::CloseOutgoing(const SocketAddress& aAddress)
{
  const auto found = mOutgoing.find(aAddress);
  if (found == mOutgoing.end()) {
    return;
  }
  const Outgoing outgoing = std::move(found->second);
  mOutgoing.erase(found);
  for (const auto& open : outgoing.mOpen) {
    mDelegations.erase(open.first);
    mHooks.mFailed(open.first,
                   outgoing.mConnected ? AttemptFailure::Lost
                                       : AttemptFailure::NotSent);
  }
}

void
GatherPort::CloseSilent()
{
  const Instant now = mLoop.Now();
  std::vector<SocketAddress> silent;
  bool anyOpen = false;
  for (const auto& entry : mOutgoing) {
    const Outgoing& outgoing = entry.second;
    anyOpen = anyOpen || !outgoing.mOpen.empty();
    const bool waits = std::any_of(
      outgoing.mOpen.begin(), outgoing.mOpen.end(), [&](const auto& aOpen) {
        return now - aOpen.second > kSilence && outgoing.mHeard <= aOpen.second;
      });
    if (waits) {
      silent.push_back(entry.first);
    }
  }
  for (const SocketAddress& address : silent) {
    CloseOutgoing(address);
  }
  if (anyOpen) {
    mSilenceTimer.Start(kSilenceCheck);
  }
}

void
GatherPort::Accept(std::shared_ptr<FrameLink> aLink)
{
  if (mIncoming.size() >= kMostIncoming) {
    return;
  }
  FrameLink* link = aLink.get();
  mIncoming[link].mLink = std::move(aLink);
  link->FrameArrived().connect(
    [this, link](FrameKind aKind, const std::string& aPayload) {
      OnOrderFrame(link, aKind, aPayload);
    });
  link->Closed().connect(
    [this, link]() { mLoop.Defer([this, link]() { CloseIncoming(link); }); });
}

void
GatherPort::OnOrderFrame(FrameLink* aLink,
                         FrameKind aKind,
                         const std::string& aPayload)
{
  const auto incoming = mIncoming.find(aLink);
  if (incoming == mIncoming.end()) {
    return;
  }
  const Result<GatherMessage> message = DecodeGather(aPayload);
  if (aKind == FrameKind::Gather && !IsError(message)) {
    if (const GatherOrder* order =
          std::get_if<GatherOrder>(&ValueOf(message))) {
      OnOrder(&incoming->second, *order);
      return;
    }
    if (const GatherRecall* recall =
          std::get_if<GatherRecall>(&ValueOf(message))) {
      OnRecall(&incoming->second, *recall);
      return;
    }
  }
  ++mMalformed;
  mLoop.Defer([this, aLink]() { CloseIncoming(aLink); });
}

void
GatherPort::OnOrder(Incoming* aIncoming, const GatherOrder& aOrder)
{
  const RequestNumber number = mHooks.mNextNumber();
  if (!aIncoming->mOpen.emplace(aOrder.mNumber, number).second) {
    return;
  }
  mRequests.emplace(number, std::pair(aIncoming->mLink.get(), aOrder.mNumber));
  DelegatedOrder order = aOrder.mOrder;
  order.mTimeLeft -= aIncoming->mTransit.Waited(aOrder.mSent, mLoop.Now());
  mHooks.mOrdered(number, order);
}

void
GatherPort::OnRecall(Incoming* aIncoming, const GatherRecall& aRecall)
{
  const auto open = aIncoming->mOpen.find(aRecall.mNumber);
  if (open == aIncoming->mOpen.end()) {
    return;
  }
  const RequestNumber number = open->second;
  aIncoming->mOpen.erase(open);
  mRequests.erase(number);
  mHooks.mRecalled(number, aRecall.mReason);
}

void
GatherPort::Report(const ReportAction& aAction)
{
  const auto found = mRequests.find(aAction.mNumber);
  if (found == mRequests.end()) {
    return;
  }
  const std::pair<FrameLink*, DelegationNumber> asked = found->second;
  asked.first->Send(
    FrameKind::Gather,
    EncodeGather(GatherAnswer{ asked.second, aAction.mAnswer, aAction.mLast }));
  if (aAction.mLast) {
    mIncoming.at(asked.first).mOpen.erase(asked.second);
    mRequests.erase(found);
  }
}

void
GatherPort::CloseIncoming(FrameLink* aLink)
{
  const auto found = mIncoming.find(aLink);
  if (found == mIncoming.end()) {
    return;
  }
  const Incoming incoming = std::move(found->second);
  mIncoming.erase(found);
  for (const auto& open : incoming.mOpen) {
    mRequests.erase(open.second);
    mHooks.mRecalled(open.second, RecallReason::CallerGone);
  }
}

} // namespace verbenachute
