#include "GatherPort.h"

#include <LibGather/GatherCodec.h>

#include <utility>
#include <vector>

namespace verbenachute {

namespace {

// Bytes that a stalled link may queue before further requests fail as not sent.
constexpr std::size_t kMaximumBacklogBytes = 1024UL * 1024;
// Peers report within half of a latency objective. A link that has received
// nothing for longer while a request is pending is lost, even if no error was
// reported.
constexpr Duration kSilenceTimeout = seconds(1);
constexpr Duration kSilenceCheckInterval = milliseconds(250);
// An incoming link is not closed for a new one before it was silent for so
// long.
constexpr Duration kMinimumSilence = seconds(1);

} // namespace

GatherPort::GatherPort(EventLoop& aLoop,
                       MetricsRegistry& aMetrics,
                       const Resources& aResources,
                       Hooks aHooks)
  : mLoop(aLoop)
  , mMetrics(aMetrics)
  , mResources(aResources)
  , mHooks(std::move(aHooks))
  , mSilenceTimer(aLoop, [this]() { CloseUnresponsive(); })
{
}

Result<std::unique_ptr<GatherPort>>
GatherPort::Create(EventLoop& aLoop,
                   MetricsRegistry& aMetrics,
                   const std::optional<SocketAddress>& aAddress,
                   const Resources& aResources,
                   Hooks aHooks)
{
  std::unique_ptr<GatherPort> port(
    new GatherPort(aLoop, aMetrics, aResources, std::move(aHooks)));
  if (!aAddress.has_value()) {
    return port;
  }
  Result<std::unique_ptr<FrameListener>> listener = FrameListener::Create(
    aLoop, *aAddress, kMaximumFrameBytes, &aResources.mMemory);
  if (IsError(listener)) {
    return ErrorOf(listener);
  }
  port->mListener = ReleaseValue(std::move(listener));
  port->mListener->Accepted().connect(
    [self = port.get()](std::shared_ptr<FrameLink> aLink) {
      self->Accept(std::move(aLink));
    });
  return port;
}

GatherPort::Outgoing&
GatherPort::FindOrDial(const SocketAddress& aAddress)
{
  const auto found = mOutgoing.find(aAddress);
  if (found != mOutgoing.end()) {
    return found->second;
  }
  Outgoing& outgoing = mOutgoing[aAddress];
  outgoing.mLastReceived = mLoop.Now();
  outgoing.mLink =
    FrameLink::Dial(mLoop, aAddress, kMaximumFrameBytes, &mResources.mMemory);
  outgoing.mLink->Connected().connect(
    [this, aAddress]() { mOutgoing.at(aAddress).mConnected = true; });
  outgoing.mLink->FrameArrived().connect(
    [this, aAddress](FrameKind aKind, const std::string& aPayload) {
      OnResponseFrame(aAddress, aKind, aPayload);
    });
  outgoing.mLink->Closed().connect(
    [this, aAddress]() { DeferCloseOutgoing(aAddress); });
  return outgoing;
}

void
GatherPort::Send(FrameLink* aLink,
                 Compression* aCompression,
                 TrafficCause aCause,
                 const GatherMessage& aMessage)
{
  const std::string payload =
    aCompression->mCompressor.Compress(EncodeGather(aMessage));
  mMetrics.AddTraffic(aCause, payload.size());
  aLink->Send(FrameKind::Gather, payload);
}

Result<GatherMessage>
GatherPort::Read(Compression* aCompression, const std::string& aPayload)
{
  const Result<std::string> payload =
    aCompression->mDecompressor.Decompress(aPayload);
  if (IsError(payload)) {
    return ErrorOf(payload);
  }
  return DecodeGather(ValueOf(payload));
}

void
GatherPort::Delegate(const DelegateAction& aAction,
                     const SocketAddress& aAddress)
{
  Outgoing& outgoing = FindOrDial(aAddress);
  const DelegationNumber number = aAction.mDelegation;
  const std::size_t backlog = outgoing.mLink->Backlog();
  // A link without a backlog is expected to write the request at once.
  const bool fits =
    backlog == 0 ||
    mResources.mMemory.Admits(MemoryOf(*aAction.mDelegationRequest.mRequest));
  if (backlog > kMaximumBacklogBytes || !fits) {
    mLoop.Defer(
      [this, number]() { mHooks.mOnFailure(number, AttemptFailure::NotSent); });
    return;
  }
  const Instant now = mLoop.Now();
  Send(outgoing.mLink.get(),
       &outgoing.mCompression,
       TrafficCause::Delegation,
       GatherRequest{
         number, now.time_since_epoch(), aAction.mDelegationRequest });
  mDelegations.Add(number, aAddress, now);
  if (!mSilenceTimer.IsRunning()) {
    mSilenceTimer.Start(kSilenceCheckInterval);
  }
}

void
GatherPort::CancelDelegation(const CancelDelegationAction& aAction)
{
  const std::optional<SocketAddress> peer =
    mDelegations.PeerOf(aAction.mDelegation);
  if (!peer.has_value()) {
    return;
  }
  Outgoing& outgoing = mOutgoing.at(*peer);
  Send(outgoing.mLink.get(),
       &outgoing.mCompression,
       TrafficCause::Delegation,
       GatherCancellation{ aAction.mDelegation, aAction.mReason });
  mDelegations.Remove(aAction.mDelegation);
}

void
GatherPort::OnResponseFrame(const SocketAddress& aAddress,
                            FrameKind aKind,
                            const std::string& aPayload)
{
  Outgoing& outgoing = mOutgoing.at(aAddress);
  outgoing.mLastReceived = mLoop.Now();
  const Result<GatherMessage> message = Read(&outgoing.mCompression, aPayload);
  const GatherResponse* response =
    IsError(message) ? nullptr : std::get_if<GatherResponse>(&ValueOf(message));
  if (aKind != FrameKind::Gather || response == nullptr) {
    ++mMalformed;
    DeferCloseOutgoing(aAddress);
    return;
  }
  if (mDelegations.PeerOf(response->mNumber) != aAddress) {
    return;
  }
  if (response->mIsFinal) {
    mDelegations.Remove(response->mNumber);
  }
  mHooks.mOnResponse(response->mNumber, response->mAnswer);
}

void
GatherPort::DeferCloseOutgoing(const SocketAddress& aAddress)
{
  // Deferred to the event loop, since the link may be in its own callback, and
  // the caller of Delegate may be executing the engine's actions. By then a new
  // link may have replaced this one.
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
  for (const DelegationNumber number : mDelegations.TakeAllOf(aAddress)) {
    mHooks.mOnFailure(number,
                      outgoing.mConnected ? AttemptFailure::ConnectionLost
                                          : AttemptFailure::NotSent);
  }
}

void
GatherPort::CloseUnresponsive()
{
  const Instant now = mLoop.Now();
  std::vector<SocketAddress> unresponsive;
  for (const auto& entry : mOutgoing) {
    if (mDelegations.HasSent(
          entry.first, entry.second.mLastReceived, now - kSilenceTimeout)) {
      unresponsive.push_back(entry.first);
    }
  }
  for (const SocketAddress& address : unresponsive) {
    CloseOutgoing(address);
  }
  if (!mDelegations.IsEmpty()) {
    mSilenceTimer.Start(kSilenceCheckInterval);
  }
}

void
GatherPort::Accept(std::shared_ptr<FrameLink> aLink)
{
  if (mIncoming.size() >= mResources.mMaximumIncoming) {
    FrameLink* silent = LongestSilent();
    if (silent == nullptr) {
      return;
    }
    CloseIncoming(silent);
  }
  FrameLink* link = aLink.get();
  Incoming& incoming = mIncoming[link];
  incoming.mLink = std::move(aLink);
  incoming.mLastReceived = mLoop.Now();
  link->FrameArrived().connect(
    [this, link](FrameKind aKind, const std::string& aPayload) {
      OnRequestFrame(link, aKind, aPayload);
    });
  link->Closed().connect(
    [this, link]() { mLoop.Defer([this, link]() { CloseIncoming(link); }); });
}

FrameLink*
GatherPort::LongestSilent() const
{
  FrameLink* silent = nullptr;
  Instant since = mLoop.Now() - kMinimumSilence;
  for (const auto& [link, incoming] : mIncoming) {
    if (incoming.mPending.empty() && incoming.mLastReceived <= since) {
      silent = link;
      since = incoming.mLastReceived;
    }
  }
  return silent;
}

void
GatherPort::OnRequestFrame(FrameLink* aLink,
                           FrameKind aKind,
                           const std::string& aPayload)
{
  const auto incoming = mIncoming.find(aLink);
  if (incoming == mIncoming.end()) {
    return;
  }
  incoming->second.mLastReceived = mLoop.Now();
  const Result<GatherMessage> message =
    Read(&incoming->second.mCompression, aPayload);
  if (aKind == FrameKind::Gather && !IsError(message)) {
    if (const GatherRequest* request =
          std::get_if<GatherRequest>(&ValueOf(message))) {
      OnRequest(&incoming->second, *request);
      return;
    }
    if (const GatherCancellation* cancellation =
          std::get_if<GatherCancellation>(&ValueOf(message))) {
      OnCancellation(&incoming->second, *cancellation);
      return;
    }
  }
  ++mMalformed;
  mLoop.Defer([this, aLink]() { CloseIncoming(aLink); });
}

void
GatherPort::OnRequest(Incoming* aIncoming, const GatherRequest& aRequest)
{
  const RequestNumber number = mHooks.mNextRequestNumber();
  if (!aIncoming->mPending.emplace(aRequest.mNumber, number).second) {
    return;
  }
  mRequests.emplace(number,
                    std::pair(aIncoming->mLink.get(), aRequest.mNumber));
  DelegationRequest request = aRequest.mDelegationRequest;
  const std::size_t bytes = MemoryOf(*request.mRequest);
  if (!mResources.mMemory.Admits(bytes)) {
    mResources.mMemory.OnRefused();
    Report(ReportAction{
      number, DelegationRefusal{ RefusalReason::Overloaded }, true });
    return;
  }
  request.mRequest =
    WithCharge(std::move(request.mRequest), { &mResources.mMemory, bytes });
  request.mTimeLeft -=
    aIncoming->mTransit.ExcessDelay(aRequest.mSent, mLoop.Now());
  mHooks.mOnRequest(number, request);
}

void
GatherPort::OnCancellation(Incoming* aIncoming,
                           const GatherCancellation& aCancellation)
{
  const auto pending = aIncoming->mPending.find(aCancellation.mNumber);
  if (pending == aIncoming->mPending.end()) {
    return;
  }
  const RequestNumber number = pending->second;
  aIncoming->mPending.erase(pending);
  mRequests.erase(number);
  mHooks.mOnCancelled(number, aCancellation.mReason);
}

void
GatherPort::Report(const ReportAction& aAction)
{
  const auto found = mRequests.find(aAction.mNumber);
  if (found == mRequests.end()) {
    return;
  }
  const std::pair<FrameLink*, DelegationNumber> requester = found->second;
  Send(requester.first,
       &mIncoming.at(requester.first).mCompression,
       TrafficCause::Report,
       GatherResponse{ requester.second, aAction.mAnswer, aAction.mIsFinal });
  if (aAction.mIsFinal) {
    mIncoming.at(requester.first).mPending.erase(requester.second);
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
  // All are removed first, since a cancellation may let others report.
  for (const auto& pending : incoming.mPending) {
    mRequests.erase(pending.second);
  }
  for (const auto& pending : incoming.mPending) {
    mHooks.mOnCancelled(pending.second, CancelReason::CallerDisconnected);
  }
}

} // namespace verbenachute
