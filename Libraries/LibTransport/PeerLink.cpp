#include <LibTransport/PeerLink.h>

#include <LibCore/SocketAddressText.h>
#include <LibWire/MessageCodec.h>

#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kHandshakeTimeout = seconds(2);
// If more bytes than this wait to be written to the socket, the peer is treated
// as unreachable.
constexpr std::size_t kMaximumBacklogBytes = 64UL * 1024 * 1024;

} // namespace

PeerLink::PeerLink(EventLoop& aLoop,
                   const SocketAddress& aAddress,
                   const NodeIdentity& aSelf)
  : mLink(FrameLink::Dial(aLoop, aAddress))
  , mSender(aLoop, *mLink)
  , mHandshakeTimer(aLoop, [this]() { Fail(); })
{
  mLink->Connected().connect([this, aSelf]() {
    mLink->Send(FrameKind::Hello, NodeIdentityText(aSelf));
  });
  mLink->FrameArrived().connect(
    [this](FrameKind aKind, const std::string& aPayload) {
      OnFrame(aKind, aPayload);
    });
  mLink->Closed().connect([this]() { Fail(); });
  mHandshakeTimer.Start(kHandshakeTimeout);
}

void
PeerLink::Queue(const NodeIdentity& aRecipient, PeerMessage aMessage)
{
  if (mState == State::Connecting) {
    mPendingMessages.push_back(
      PendingMessage{ aRecipient, std::move(aMessage) });
    return;
  }
  if (mState == State::Ready && mLink->Backlog() > kMaximumBacklogBytes) {
    Fail();
  }
  SendOrDrop(aRecipient, std::move(aMessage));
}

void
PeerLink::SendControl(std::string aRequest)
{
  if (mState == State::Connecting) {
    mPendingControlRequests.push_back(std::move(aRequest));
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

PeerLink::MessageDroppedSignal&
PeerLink::MessageDropped()
{
  return mMessageDropped;
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
  mHandshakeTimer.Stop();
  std::vector<PendingMessage> pending;
  pending.swap(mPendingMessages);
  for (PendingMessage& message : pending) {
    SendOrDrop(message.mRecipient, std::move(message.mMessage));
  }
  for (const std::string& request : mPendingControlRequests) {
    mLink->Send(FrameKind::ControlRequest, request);
  }
  mPendingControlRequests.clear();
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
  mHandshakeTimer.Stop();
  std::vector<PendingMessage> pending;
  pending.swap(mPendingMessages);
  for (const PendingMessage& message : pending) {
    mMessageDropped.emit(message.mMessage);
  }
  mFailed.emit();
}

void
PeerLink::SendOrDrop(const NodeIdentity& aRecipient, PeerMessage aMessage)
{
  // A message to an earlier incarnation must not reach the next one at the same
  // address.
  if (mState != State::Ready || mPeer != aRecipient) {
    mMessageDropped.emit(aMessage);
    return;
  }
  mSender.Queue(std::move(aMessage));
}

} // namespace verbenachute
