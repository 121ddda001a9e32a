#pragma once

#include "PeerDirectory.h"

#include <LibConfiguration/Configuration.h>
#include <LibConfiguration/ConfigurationFollower.h>
#include <LibObservation/Logger.h>
#include <LibPlatform/Platform.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <memory>

namespace verbenachute {

/// Carries out the decisions of the configuration follower: reads and watches
/// the platform's store, reads from peers, and serves peers.
class ConfigurationService
{
public:
  using AppliedSignal =
    sigc::signal<void(const std::shared_ptr<const Configuration>&)>;

  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    const PeerDirectory& mDirectory;
    Platform& mPlatform;
    Logger& mLogger;
  };

  ConfigurationService(const NodeName& aSelf, Dependencies aDependencies);

  void Start();
  /// The live nodes of the cell.
  void OnPeers(const std::vector<NodeName>& aPeers);
  /// A peer told its revision in answer to a heartbeat of this node.
  void OnPeerRevision(const NodeName& aPeer,
                      Revision aRevision,
                      std::optional<Instant> aConfirmed);
  /// This node wrote a revision itself.
  void OnWritten(const EncodedConfiguration& aWritten, Instant aSent);

  /// Serves a part or the head to a peer.
  [[nodiscard]] Result<Json::Value> AnswerRead(const Json::Value& aInput) const;

  [[nodiscard]] const ConfigurationFollower& Follower() const;
  /// Emitted when a larger revision comes into force.
  [[nodiscard]] AppliedSignal& Applied();

private:
  void CarryOut(const ConfigurationFollower::Actions& aActions);
  void Perform(const ReadHead& aAction);
  void Perform(const WatchHead& aAction);
  void Perform(const ReadPart& aAction);
  void Perform(const PutInForce& aAction);
  void Perform(const ReportRefused& aAction);
  void ReadHeadFromPeer(const ReadHead& aAction, const NodeName& aPeer);
  void ReadPartFromPeer(const ReadPart& aAction, const NodeName& aPeer);
  void OnStoreHead(CallId aCall,
                   const Result<std::optional<StoredValue>>& aValue);
  void CallPeer(const NodeName& aPeer,
                const Json::Value& aInput,
                PeerPort::ControlDone aDone);
  void ArmTimer();

  Dependencies mDependencies;
  ConfigurationFollower mFollower;
  Timer mTimer;
  AppliedSignal mApplied;
};

} // namespace verbenachute
