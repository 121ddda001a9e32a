#pragma once

#include <LibCore/Error.h>
#include <LibCore/Identifiers.h>
#include <LibTransport/FrameListener.h>
#include <LibTransport/PeerLink.h>
#include <LibTransport/PeerSession.h>
#include <LibTransport/Timer.h>
#include <LibWire/PeerMessage.h>

#include <json/json.h>

#include <functional>
#include <map>
#include <memory>

namespace verbenachute {

/// All links between this node and its peers: those that it opens, by
/// address, and those that it accepts.
class PeerPort
{
public:
  using SessionHandle = std::weak_ptr<PeerSession>;
  using RequestArrivedSignal =
    sigc::signal<void(const SessionHandle&, const PeerMessage&)>;
  using MessageSignal = sigc::signal<void(const PeerMessage&)>;
  using AddressSignal = sigc::signal<void(const SocketAddress&)>;
  using ControlDone = std::function<void(const Result<Json::Value>&)>;
  /// Returns the JSON-RPC reply to the JSON-RPC request of an incarnation of a
  /// peer.
  using ControlHandler =
    std::function<std::string(const NodeIdentity&, const std::string&)>;

  /// Fails with step Settings and code Unavailable if the address can not be
  /// bound.
  [[nodiscard]] static Result<std::unique_ptr<PeerPort>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const NodeIdentity& aSelf);

  /// Sends a message to one incarnation of a peer; opens a link if there is
  /// none.
  void Send(const SocketAddress& aAddress,
            const NodeIdentity& aRecipient,
            PeerMessage aMessage);
  /// Calls a JSON-RPC method of whichever incarnation is at the address. aDone
  /// is called once, with an Unreachable error if the link fails, the peer
  /// returns an error, or no reply arrives within about a second.
  void Call(const SocketAddress& aAddress,
            const std::string& aMethod,
            const Json::Value& aParameters,
            ControlDone aDone);
  void SetControlHandler(ControlHandler aHandler);

  /// Emitted for each message of a peer that is to be answered over the same
  /// session.
  [[nodiscard]] RequestArrivedSignal& RequestArrived();
  /// Emitted for each message of a peer that answers one of this node.
  [[nodiscard]] MessageSignal& AnswerArrived();
  /// Emitted for each message of this node that was not sent and will not be.
  [[nodiscard]] MessageSignal& MessageDropped();
  /// Emitted when the link to an address has failed. What was sent on it may
  /// have arrived.
  [[nodiscard]] AddressSignal& LinkFailed();

private:
  struct PendingCall
  {
    SocketAddress mAddress;
    Instant mDeadline;
    ControlDone mDone;
  };

  PeerPort(EventLoop& aLoop, const NodeIdentity& aSelf);
  void Accept(std::shared_ptr<FrameLink> aLink);
  [[nodiscard]] PeerLink& LinkTo(const SocketAddress& aAddress);
  void OnLinkFailed(const SocketAddress& aAddress);
  void OnControlReply(const std::string& aReply);
  void ExpireCalls();
  void FailCall(std::uint64_t aId, const std::string& aMessage);

  EventLoop& mLoop;
  NodeIdentity mSelf;
  std::unique_ptr<FrameListener> mListener;
  std::map<SocketAddress, std::shared_ptr<PeerLink>> mLinks;
  std::map<PeerSession*, std::shared_ptr<PeerSession>> mSessions;
  std::map<std::uint64_t, PendingCall> mPendingCalls;
  std::uint64_t mNextCallId = 1;
  Timer mCallTimer;
  ControlHandler mControlHandler;
  RequestArrivedSignal mRequestArrived;
  MessageSignal mAnswerArrived;
  MessageSignal mMessageDropped;
  AddressSignal mLinkFailed;
};

} // namespace verbenachute
