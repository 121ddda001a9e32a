#include <LibTransport/PeerSession.h>

#include <LibCore/SocketAddressText.h>
#include <LibWire/MessageCodec.h>

#include <utility>

namespace verbenachute {

PeerSession::PeerSession(EventLoop& aLoop,
                         std::shared_ptr<FrameLink> aLink,
                         const NodeIdentity& aSelf)
  : mLink(std::move(aLink))
  , mSender(aLoop, *mLink)
  , mSelf(aSelf)
{
  mLink->FrameArrived().connect(
    [this](FrameKind aKind, const std::string& aPayload) {
      OnFrame(aKind, aPayload);
    });
  mLink->Closed().connect([this]() { Close(); });
}

void
PeerSession::Queue(PeerMessage aMessage)
{
  mSender.Queue(std::move(aMessage));
}

void
PeerSession::SendControlReply(const std::string& aReply)
{
  mLink->Send(FrameKind::ControlReply, aReply);
}

const std::optional<NodeIdentity>&
PeerSession::Peer() const
{
  return mPeer;
}

PeerSession::MessageArrivedSignal&
PeerSession::MessageArrived()
{
  return mMessageArrived;
}

PeerSession::ControlRequestSignal&
PeerSession::ControlRequestArrived()
{
  return mControlRequestArrived;
}

sigc::signal<void()>&
PeerSession::Closed()
{
  return mClosedSignal;
}

void
PeerSession::OnFrame(FrameKind aKind, const std::string& aPayload)
{
  if (mClosed) {
    return;
  }
  if (aKind == FrameKind::Hello) {
    OnHello(aPayload);
    return;
  }
  if (!mPeer.has_value()) {
    Close();
    return;
  }
  if (aKind == FrameKind::Batch) {
    OnBatch(aPayload);
    return;
  }
  if (aKind == FrameKind::ControlRequest) {
    mControlRequestArrived.emit(aPayload);
    return;
  }
  Close();
}

void
PeerSession::OnHello(const std::string& aPayload)
{
  const Result<NodeIdentity> peer = ParseNodeIdentity(aPayload);
  if (IsError(peer) || mPeer.has_value()) {
    Close();
    return;
  }
  mPeer = ValueOf(peer);
  mLink->Send(FrameKind::Hello, NodeIdentityText(mSelf));
}

void
PeerSession::OnBatch(const std::string& aPayload)
{
  const Result<std::vector<PeerMessage>> messages = DecodeBatch(aPayload);
  if (IsError(messages)) {
    Close();
    return;
  }
  for (const PeerMessage& message : ValueOf(messages)) {
    mMessageArrived.emit(message);
  }
}

void
PeerSession::Close()
{
  if (mClosed) {
    return;
  }
  mClosed = true;
  mClosedSignal.emit();
}

} // namespace verbenachute
