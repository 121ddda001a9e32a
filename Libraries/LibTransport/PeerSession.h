#pragma once

#include <LibCore/Identifiers.h>
#include <LibTransport/BatchSender.h>
#include <LibTransport/FrameLink.h>
#include <LibWire/PeerMessage.h>

#include <memory>
#include <optional>
#include <string>

namespace verbenachute {

/// A link that a peer has opened to this node. It receives requests and sends
/// their answers.
class PeerSession
{
public:
  using MessageArrivedSignal = sigc::signal<void(const PeerMessage&)>;
  using ControlRequestSignal = sigc::signal<void(const std::string&)>;

  PeerSession(EventLoop& aLoop,
              std::shared_ptr<FrameLink> aLink,
              const NodeIdentity& aSelf);

  void Queue(PeerMessage aMessage);
  void SendControlReply(const std::string& aReply);

  /// The incarnation of the peer; empty until its Hello has arrived.
  [[nodiscard]] const std::optional<NodeIdentity>& Peer() const;

  [[nodiscard]] MessageArrivedSignal& MessageArrived();
  [[nodiscard]] ControlRequestSignal& ControlRequestArrived();
  /// Emitted once, when the link has closed or the peer has sent an unexpected
  /// frame. Destroy the session from a deferred task.
  [[nodiscard]] sigc::signal<void()>& Closed();

private:
  void OnFrame(FrameKind aKind, const std::string& aPayload);
  void OnHello(const std::string& aPayload);
  void OnBatch(const std::string& aPayload);
  void Close();

  std::shared_ptr<FrameLink> mLink;
  BatchSender mSender;
  NodeIdentity mSelf;
  std::optional<NodeIdentity> mPeer;
  bool mClosed = false;
  MessageArrivedSignal mMessageArrived;
  ControlRequestSignal mControlRequestArrived;
  sigc::signal<void()> mClosedSignal;
};

} // namespace verbenachute
