#pragma once

#include "HolderDirectory.h"
#include "PeerDirectory.h"

#include <LibMembership/AddressAnswerer.h>
#include <LibMembership/MemberTable.h>
#include <LibMembership/PauseDetector.h>
#include <LibObservation/Logger.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibPlatform/Platform.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>
#include <set>

namespace verbenachute {

/// Carries out the decisions of the member table: reads the platform's list
/// of VMs, and sends and takes heartbeats.
class MembershipService final
  : public PeerDirectory
  , public HolderDirectory
{
public:
  /// What a node adds to its answer to a heartbeat.
  using ReplyWriter = std::function<void(Json::Value&)>;
  /// Called with the peer's name, its answer, and when it was asked.
  using ReplySignal =
    sigc::signal<void(const NodeName&, const Json::Value&, Instant)>;
  using MemberSignal = sigc::signal<void(const NodeIdentity&)>;

  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    Platform& mPlatform;
    Logger& mLogger;
    MetricsRegistry& mMetrics;
  };

  MembershipService(const MemberDescription& aSelf,
                    const std::vector<SocketAddress>& aSeeds,
                    Dependencies aDependencies);

  void Start();
  void SetReplyWriter(ReplyWriter aWriter);
  [[nodiscard]] Result<Json::Value> AnswerHeartbeat(const Json::Value& aInput);

  [[nodiscard]] MemberTable& Table();
  [[nodiscard]] const std::set<NodeName>& ListedNames() const;
  /// Peers that are alive, leaving ones included.
  [[nodiscard]] std::vector<Member> LivePeers() const;

  [[nodiscard]] std::optional<SocketAddress> PeerAddress(
    const NodeName& aNode) const override;
  [[nodiscard]] std::optional<PeerEndpoint> HolderOf(
    const Bucket& aBucket) const override;

  /// Emitted about ten times a second, after the table has been brought up
  /// to date.
  [[nodiscard]] sigc::signal<void()>& Ticked();
  [[nodiscard]] ReplySignal& ReplyArrived();
  /// A life of a peer has ended or was replaced.
  [[nodiscard]] MemberSignal& MemberLost();
  /// Another life of this node's name exists, or this one must end.
  [[nodiscard]] sigc::signal<void()>& SelfReplaced();

private:
  void Tick();
  /// Looked up for each sub-query, so it is made anew for each heartbeat.
  void IndexHolders();
  void Send(const OutgoingHeartbeat& aHeartbeat);
  void Report(const std::vector<MemberChange>& aChanges);
  void ReadVmList();
  void OnVmList(const Result<std::vector<VmEntry>>& aList);

  Dependencies mDependencies;
  MemberTable mTable;
  PauseDetector mPauses;
  std::set<NodeName> mListed;
  std::map<Bucket, PeerEndpoint> mHolders;
  Timer mTickTimer;
  Timer mListTimer;
  ReplyWriter mReplyWriter;
  sigc::signal<void()> mTicked;
  ReplySignal mReplyArrived;
  MemberSignal mMemberLost;
  sigc::signal<void()> mSelfReplaced;
};

} // namespace verbenachute
