#include <LibTransport/PeerLink.h>

#include <LibCore/SocketAddressText.h>
#include <LibWire/MessageCodec.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kGreetingTimeout = seconds(2);
// A peer that takes no bytes while this many wait is treated as cut off.
constexpr std::size_t kMaximumBacklogBytes = 64UL * 1024 * 1024;

} // namespace

PeerLink::PeerLink(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const NodeIdentity& aSelf,
                   const NodeIdentity& aPeer)
  : mPeer(aPeer)
  , mLink(FrameLink::Dial(aLoop, aAddress))
  , mSender(aLoop, *mLink)
  , mGreetingTimeout(aLoop, [this]() { Fail(); })
{
  mLink->Connected().connect([this, aSelf]() {
    mLink->Send(FrameKind::Hello, NodeIdentityText(aSelf));
  });
  mLink->FrameArrived().connect(
    [this](FrameKind aKind, const std::string& aPayload) {
      OnFrame(aKind, aPayload);
    });
  mLink->Closed().connect([this]() { Fail(); });
  mGreetingTimeout.Start(kGreetingTimeout);
}

void
PeerLink::Queue(PeerMessage aMessage)
{
  if (mState == State::Connecting) {
    mWaiting.push_back(std::move(aMessage));
    return;
  }
  if (mLink->Backlog() > kMaximumBacklogBytes) {
    Fail();
    return;
  }
  mSender.Queue(std::move(aMessage));
}

void
PeerLink::SendControl(std::string aRequest)
{
  if (mState == State::Connecting) {
    mWaitingControl.push_back(std::move(aRequest));
    return;
  }
  mLink->Send(FrameKind::ControlRequest, aRequest);
}

const NodeIdentity&
PeerLink::Peer() const
{
  return mPeer;
}

bool
PeerLink::IsReady() const
{
  return mState == State::Ready;
}

PeerLink::MessageArrivedSignal&
PeerLink::MessageArrived()
{
  return mMessageArrived;
}

PeerLink::ControlReplySignal&
PeerLink::ControlReplyArrived()
{
  return mControlReplyArrived;
}

PeerLink::FailedSignal&
PeerLink::Failed()
{
  return mFailed;
}

void
PeerLink::OnFrame(FrameKind aKind, const std::string& aPayload)
{
  switch (aKind) {
    case FrameKind::Hello:
      OnHello(aPayload);
      return;
    case FrameKind::Batch:
      OnBatch(aPayload);
      return;
    case FrameKind::ControlReply:
      mControlReplyArrived.emit(aPayload);
      return;
    case FrameKind::ControlRequest:
      Fail();
      return;
  }
}

void
PeerLink::OnHello(const std::string& aPayload)
{
  // Another life of the peer at the same address must not get messages that
  // were meant for the life before it.
  if (aPayload != NodeIdentityText(mPeer)) {
    Fail();
    return;
  }
  mState = State::Ready;
  mGreetingTimeout.Stop();
  for (PeerMessage& message : mWaiting) {
    mSender.Queue(std::move(message));
  }
  mWaiting.clear();
  for (const std::string& request : mWaitingControl) {
    mLink->Send(FrameKind::ControlRequest, request);
  }
  mWaitingControl.clear();
}

void
PeerLink::OnBatch(const std::string& aPayload)
{
  const Result<std::vector<PeerMessage>> messages = DecodeBatch(aPayload);
  if (IsError(messages)) {
    Fail();
    return;
  }
  for (const PeerMessage& message : ValueOf(messages)) {
    mMessageArrived.emit(message);
  }
}

void
PeerLink::Fail()
{
  if (mState == State::Failed) {
    return;
  }
  const Execution execution =
    mState == State::Connecting ? Execution::NotRun : Execution::OutcomeUnknown;
  mState = State::Failed;
  mGreetingTimeout.Stop();
  mFailed.emit(execution);
}

} // namespace verbenachute
