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

/// All links between this node and its peers: those that it dials, by
/// address, and those that were dialled to it.
class PeerPort
{
public:
  using SessionHandle = std::weak_ptr<PeerSession>;
  using RequestArrivedSignal =
    sigc::signal<void(const SessionHandle&, const PeerMessage&)>;
  using MessageSignal = sigc::signal<void(const PeerMessage&)>;
  using AddressSignal = sigc::signal<void(const SocketAddress&)>;
  using ControlDone = std::function<void(const Result<Json::Value>&)>;
  /// Answers the JSON-RPC request of a peer's life with a JSON-RPC reply.
  using ControlHandler =
    std::function<std::string(const NodeIdentity&, const std::string&)>;

  /// Fails with step Settings when the address can not be bound.
  [[nodiscard]] static Result<std::unique_ptr<PeerPort>> Create(
    EventLoop& aLoop,
    const SocketAddress& aAddress,
    const NodeIdentity& aSelf);

  /// Sends a message to one life of a peer; dials if there is no link.
  void Send(const SocketAddress& aAddress,
            const NodeIdentity& aMeantFor,
            PeerMessage aMessage);
  /// Calls a JSON-RPC method of whichever life is at the address. aDone is
  /// called once; no answer in time is an Unreachable error.
  void Call(const SocketAddress& aAddress,
            const std::string& aMethod,
            const Json::Value& aParameters,
            ControlDone aDone);
  void SetControlHandler(ControlHandler aHandler);

  /// A message of a peer that wants an answer over the same session.
  [[nodiscard]] RequestArrivedSignal& RequestArrived();
  /// A message of a peer that answers one of this node.
  [[nodiscard]] MessageSignal& AnswerArrived();
  /// A message of this node that was not sent and never will be.
  [[nodiscard]] MessageSignal& MessageRefused();
  /// The link to an address broke; what was sent on it may have arrived.
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
  std::map<std::uint64_t, PendingCall> mCalls;
  std::uint64_t mNextCall = 1;
  Timer mCallTimer;
  ControlHandler mControlHandler;
  RequestArrivedSignal mRequestArrived;
  MessageSignal mAnswerArrived;
  MessageSignal mMessageRefused;
  AddressSignal mLinkFailed;
};

} // namespace verbenachute
