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

/// The link that this node opens to the address of a peer. It sends requests
/// and receives their answers. The peer names its incarnation in its Hello
/// frame, and a message is sent only if it is addressed to that incarnation.
class PeerLink
{
public:
  using MessageArrivedSignal = sigc::signal<void(const PeerMessage&)>;
  using ControlReplySignal = sigc::signal<void(const std::string&)>;
  using MessageDroppedSignal = sigc::signal<void(const PeerMessage&)>;

  PeerLink(EventLoop& aLoop,
           const SocketAddress& aAddress,
           const NodeIdentity& aSelf);

  /// Sends a message once the Hello of the peer has arrived, or emits
  /// MessageDropped if the peer is another incarnation than aRecipient.
  void Queue(const NodeIdentity& aRecipient, PeerMessage aMessage);
  /// Sends a JSON-RPC request once the Hello of the peer has arrived. It is
  /// dropped without notice if the link fails first.
  void SendControl(std::string aRequest);

  /// The incarnation at the address; empty until its Hello has arrived.
  [[nodiscard]] const std::optional<NodeIdentity>& Peer() const;

  [[nodiscard]] MessageArrivedSignal& MessageArrived();
  [[nodiscard]] ControlReplySignal& ControlReplyArrived();
  /// Emitted for each message that was not sent and will not be.
  [[nodiscard]] MessageDroppedSignal& MessageDropped();
  /// Emitted once, after MessageDropped for all pending messages. Destroy the
  /// link from a deferred task.
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

  struct PendingMessage
  {
    NodeIdentity mRecipient;
    PeerMessage mMessage;
  };

  void SendOrDrop(const NodeIdentity& aRecipient, PeerMessage aMessage);

  std::optional<NodeIdentity> mPeer;
  State mState = State::Connecting;
  std::unique_ptr<FrameLink> mLink;
  BatchSender mSender;
  Timer mHandshakeTimer;
  std::vector<PendingMessage> mPendingMessages;
  std::vector<std::string> mPendingControlRequests;
  MessageArrivedSignal mMessageArrived;
  ControlReplySignal mControlReplyArrived;
  MessageDroppedSignal mMessageDropped;
  sigc::signal<void()> mFailed;
};

} // namespace verbenachute
