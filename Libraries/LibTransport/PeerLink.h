#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibTransport/BatchSender.h>
#include <LibTransport/FrameLink.h>
#include <LibTransport/Timer.h>
#include <LibWire/PeerMessage.h>

#include <memory>
#include <string>
#include <vector>

namespace verbenachute {

/// The link that this node dials to one life of a peer. Requests go out on
/// it and their answers come back on it.
class PeerLink
{
public:
  using MessageArrivedSignal = sigc::signal<void(const PeerMessage&)>;
  using ControlReplySignal = sigc::signal<void(const std::string&)>;
  /// Carries what is known of the messages that have no answer yet: NotRun
  /// if none of them was sent to the life that was meant.
  using FailedSignal = sigc::signal<void(Execution)>;

  PeerLink(EventLoop& aLoop,
           const SocketAddress& aAddress,
           const NodeIdentity& aSelf,
           const NodeIdentity& aPeer);

  /// Sends a message as soon as the peer has greeted.
  void Queue(PeerMessage aMessage);
  /// Sends a JSON-RPC request as soon as the peer has greeted.
  void SendControl(std::string aRequest);

  [[nodiscard]] const NodeIdentity& Peer() const;
  [[nodiscard]] bool IsReady() const;

  [[nodiscard]] MessageArrivedSignal& MessageArrived();
  [[nodiscard]] ControlReplySignal& ControlReplyArrived();
  /// Emitted once; destroy the link from a deferred task.
  [[nodiscard]] FailedSignal& Failed();

private:
  enum class State
  {
    Connecting,
    Ready,
    Failed,
  };

  void OnFrame(FrameKind aKind, const std::string& aPayload);
  void OnHello(const std::string& aPayload);
  void OnBatch(const std::string& aPayload);
  void Fail();

  NodeIdentity mPeer;
  State mState = State::Connecting;
  std::unique_ptr<FrameLink> mLink;
  BatchSender mSender;
  Timer mGreetingTimeout;
  std::vector<PeerMessage> mWaiting;
  std::vector<std::string> mWaitingControl;
  MessageArrivedSignal mMessageArrived;
  ControlReplySignal mControlReplyArrived;
  FailedSignal mFailed;
};

} // namespace verbenachute
