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
                   const NodeIdentity& aSelf)
  : mLink(FrameLink::Dial(aLoop, aAddress))
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
PeerLink::Queue(const NodeIdentity& aMeantFor, PeerMessage aMessage)
{
  if (mState == State::Connecting) {
    mWaiting.push_back(WaitingMessage{ aMeantFor, std::move(aMessage) });
    return;
  }
  if (mState == State::Ready && mLink->Backlog() > kMaximumBacklogBytes) {
    Fail();
  }
  SendOrRefuse(aMeantFor, std::move(aMessage));
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

const std::optional<NodeIdentity>&
PeerLink::Peer() const
{
  return mPeer;
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

PeerLink::MessageRefusedSignal&
PeerLink::MessageRefused()
{
  return mMessageRefused;
}

sigc::signal<void()>&
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
    case FrameKind::Gather:
      Fail();
      return;
  }
}

void
PeerLink::OnHello(const std::string& aPayload)
{
  const Result<NodeIdentity> peer = ParseNodeIdentity(aPayload);
  if (IsError(peer) || mState != State::Connecting) {
    Fail();
    return;
  }
  mPeer = ValueOf(peer);
  mState = State::Ready;
  mGreetingTimeout.Stop();
  std::vector<WaitingMessage> waiting;
  waiting.swap(mWaiting);
  for (WaitingMessage& message : waiting) {
    SendOrRefuse(message.mMeantFor, std::move(message.mMessage));
  }
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
  mState = State::Failed;
  mGreetingTimeout.Stop();
  std::vector<WaitingMessage> waiting;
  waiting.swap(mWaiting);
  for (const WaitingMessage& message : waiting) {
    mMessageRefused.emit(message.mMessage);
  }
  mFailed.emit();
}

void
PeerLink::SendOrRefuse(const NodeIdentity& aMeantFor, PeerMessage aMessage)
{
  // Another life at the same address must not get a message that was meant
  // for the life before it.
  if (mState != State::Ready || mPeer != aMeantFor) {
    mMessageRefused.emit(aMessage);
    return;
  }
  mSender.Queue(std::move(aMessage));
}

} // namespace verbenachute
