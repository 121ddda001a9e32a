#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibTransport/BatchSender.h>
#include <LibTransport/FrameLink.h>
#include <LibTransport/Timer.h>
#include <LibWire/PeerMessage.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace verbenachute {

/// The link that this node dials to the address of a peer. Requests go out
/// on it and their answers come back on it. The peer's life is learnt from its
/// greeting, and a message goes only to the life that it is meant for.
class PeerLink
{
public:
  using MessageArrivedSignal = sigc::signal<void(const PeerMessage&)>;
  using ControlReplySignal = sigc::signal<void(const std::string&)>;
  using MessageRefusedSignal = sigc::signal<void(const PeerMessage&)>;

  PeerLink(EventLoop& aLoop,
           const SocketAddress& aAddress,
           const NodeIdentity& aSelf);

  /// Sends a message as soon as the peer has greeted.
  void Queue(const NodeIdentity& aMeantFor, PeerMessage aMessage);
  /// Sends a JSON-RPC request as soon as the peer has greeted.
  void SendControl(std::string aRequest);

  /// The life at the address, once it has greeted.
  [[nodiscard]] const std::optional<NodeIdentity>& Peer() const;

  [[nodiscard]] MessageArrivedSignal& MessageArrived();
  [[nodiscard]] ControlReplySignal& ControlReplyArrived();
  /// Emitted for each message that was not sent and never will be.
  [[nodiscard]] MessageRefusedSignal& MessageRefused();
  /// Emitted once, after the refusal of all messages that were not sent;
  /// destroy the link from a deferred task.
  [[nodiscard]] sigc::signal<void()>& Failed();

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

  struct WaitingMessage
  {
    NodeIdentity mMeantFor;
    PeerMessage mMessage;
  };

  void SendOrRefuse(const NodeIdentity& aMeantFor, PeerMessage aMessage);

  std::optional<NodeIdentity> mPeer;
  State mState = State::Connecting;
  std::unique_ptr<FrameLink> mLink;
  BatchSender mSender;
  Timer mGreetingTimeout;
  std::vector<WaitingMessage> mWaiting;
  std::vector<std::string> mWaitingControl;
  MessageArrivedSignal mMessageArrived;
  ControlReplySignal mControlReplyArrived;
  MessageRefusedSignal mMessageRefused;
  sigc::signal<void()> mFailed;
};

} // namespace verbenachute
