#include <LibTransport/PeerPort.h>

#include <LibCore/SocketAddressText.h>
#include <LibJson/JsonText.h>

#include <utility>
#include <vector>

namespace verbenachute {

namespace {

constexpr Duration kCallTimeout = seconds(1);
// The largest payload of a frame of the link.
constexpr std::size_t kMaximumReplyBytes = 16UL * 1024 * 1024;
constexpr Duration kCallExpiryInterval = milliseconds(100);

Error
CallError(const std::string& aPeer, const std::string& aMessage)
{
  return Error{ Step::Membership, ErrorCode::Unreachable, aPeer, aMessage };
}

} // namespace

Result<std::unique_ptr<PeerPort>>
PeerPort::Create(EventLoop& aLoop,
                 const SocketAddress& aAddress,
                 const NodeIdentity& aSelf)
{
  Result<std::unique_ptr<FrameListener>> listener =
    FrameListener::Create(aLoop, aAddress);
  if (IsError(listener)) {
    return ErrorOf(listener);
  }
  std::unique_ptr<PeerPort> port(new PeerPort(aLoop, aSelf));
  port->mListener = ReleaseValue(std::move(listener));
  PeerPort* self = port.get();
  self->mListener->Accepted().connect([self](std::shared_ptr<FrameLink> aLink) {
    self->Accept(std::move(aLink));
  });
  return port;
}

PeerPort::PeerPort(EventLoop& aLoop, const NodeIdentity& aSelf)
  : mLoop(aLoop)
  , mSelf(aSelf)
  , mCallTimer(aLoop, [this]() { ExpireCalls(); })
{
}

void
PeerPort::Send(const SocketAddress& aAddress,
               const NodeIdentity& aRecipient,
               PeerMessage aMessage)
{
  LinkTo(aAddress).Queue(aRecipient, std::move(aMessage));
}

void
PeerPort::Call(const SocketAddress& aAddress,
               const std::string& aMethod,
               const Json::Value& aParameters,
               ControlDone aDone)
{
  const std::uint64_t id = mNextCallId++;
  mPendingCalls.emplace(
    id, PendingCall{ aAddress, mLoop.Now() + kCallTimeout, std::move(aDone) });
  Json::Value request;
  request["jsonrpc"] = "2.0";
  request["id"] = Json::UInt64(id);
  request["method"] = aMethod;
  request["params"] = aParameters;
  LinkTo(aAddress).SendControl(CompactJson(request));
  if (!mCallTimer.IsRunning()) {
    mCallTimer.Start(kCallExpiryInterval);
  }
}

void
PeerPort::SetControlHandler(ControlHandler aHandler)
{
  mControlHandler = std::move(aHandler);
}

PeerPort::RequestArrivedSignal&
PeerPort::RequestArrived()
{
  return mRequestArrived;
}

PeerPort::MessageSignal&
PeerPort::AnswerArrived()
{
  return mAnswerArrived;
}

PeerPort::MessageSignal&
PeerPort::MessageDropped()
{
  return mMessageDropped;
}

PeerPort::AddressSignal&
PeerPort::LinkFailed()
{
  return mLinkFailed;
}

void
PeerPort::Accept(std::shared_ptr<FrameLink> aLink)
{
  std::shared_ptr<PeerSession> session =
    std::make_shared<PeerSession>(mLoop, std::move(aLink), mSelf);
  const SessionHandle handle = session;
  PeerSession* key = session.get();
  session->MessageArrived().connect(
    [this, handle](const PeerMessage& aMessage) {
      mRequestArrived.emit(handle, aMessage);
    });
  session->ControlRequestArrived().connect(
    [this, key](const std::string& aRequest) {
      if (mControlHandler) {
        key->SendControlReply(mControlHandler(*key->Peer(), aRequest));
      }
    });
  session->Closed().connect(
    [this, key]() { mLoop.Defer([this, key]() { mSessions.erase(key); }); });
  mSessions.emplace(key, std::move(session));
}

PeerLink&
PeerPort::LinkTo(const SocketAddress& aAddress)
{
  const auto found = mLinks.find(aAddress);
  if (found != mLinks.end()) {
    return *found->second;
  }
  std::shared_ptr<PeerLink> link =
    std::make_shared<PeerLink>(mLoop, aAddress, mSelf);
  link->MessageArrived().connect(
    [this](const PeerMessage& aMessage) { mAnswerArrived.emit(aMessage); });
  link->MessageDropped().connect(
    [this](const PeerMessage& aMessage) { mMessageDropped.emit(aMessage); });
  link->ControlReplyArrived().connect(
    [this](const std::string& aReply) { OnControlReply(aReply); });
  link->Failed().connect([this, aAddress]() { OnLinkFailed(aAddress); });
  return *mLinks.emplace(aAddress, std::move(link)).first->second;
}

void
PeerPort::OnLinkFailed(const SocketAddress& aAddress)
{
  const auto found = mLinks.find(aAddress);
  if (found == mLinks.end()) {
    return;
  }
  // Destroyed by a deferred task, since the link is emitting this signal.
  std::shared_ptr<PeerLink> link = std::move(found->second);
  mLinks.erase(found);
  mLoop.Defer([link]() {});
  std::vector<std::uint64_t> failed;
  for (const std::pair<const std::uint64_t, PendingCall>& call :
       mPendingCalls) {
    if (call.second.mAddress == aAddress) {
      failed.push_back(call.first);
    }
  }
  for (const std::uint64_t id : failed) {
    FailCall(id, "the link to the peer failed");
  }
  mLinkFailed.emit(aAddress);
}

void
PeerPort::OnControlReply(const std::string& aReply)
{
  const Result<Json::Value> parsed = ParseJson(aReply, kMaximumReplyBytes);
  if (IsError(parsed) || !ValueOf(parsed).isObject()) {
    return;
  }
  const Json::Value& reply = ValueOf(parsed);
  if (!reply["id"].isUInt64()) {
    return;
  }
  const auto found = mPendingCalls.find(reply["id"].asUInt64());
  if (found == mPendingCalls.end()) {
    return;
  }
  PendingCall call = std::move(found->second);
  mPendingCalls.erase(found);
  if (reply.isMember("result")) {
    call.mDone(reply["result"]);
    return;
  }
  call.mDone(
    CallError(SocketAddressText(call.mAddress),
              "the peer refused the call: " + CompactJson(reply["error"])));
}

void
PeerPort::ExpireCalls()
{
  const Instant now = mLoop.Now();
  std::vector<std::uint64_t> expired;
  for (const std::pair<const std::uint64_t, PendingCall>& call :
       mPendingCalls) {
    if (call.second.mDeadline <= now) {
      expired.push_back(call.first);
    }
  }
  for (const std::uint64_t id : expired) {
    FailCall(id, "the peer did not answer in time");
  }
  if (!mPendingCalls.empty()) {
    mCallTimer.Start(kCallExpiryInterval);
  }
}

void
PeerPort::FailCall(std::uint64_t aId, const std::string& aMessage)
{
  const auto found = mPendingCalls.find(aId);
  if (found == mPendingCalls.end()) {
    return;
  }
  PendingCall call = std::move(found->second);
  mPendingCalls.erase(found);
  call.mDone(CallError(SocketAddressText(call.mAddress), aMessage));
}

} // namespace verbenachute
