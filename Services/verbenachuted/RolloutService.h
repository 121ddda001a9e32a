#pragma once

#include "GossipPort.h"
#include "StoreKeys.h"

#include <LibForward/ForwardEngine.h>
#include <LibObservation/Logger.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibRollout/RolloutBoard.h>
#include <LibStore/StoreMirror.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>

namespace verbenachute {

/// Reads the orders from the store, sends and receives reports, and writes the
/// phases that this node has to write.
class RolloutService
{
public:
  struct Hooks
  {
    EventLoop& mLoop;
    Logger& mLogger;
    MetricsRegistry& mMetrics;
    GossipPort& mPort;
    ForwardEngine& mEngine;
    StoreKeys& mKeys;
    /// The nodes that serve, with their addresses.
    std::function<std::vector<NodeStatus>()> mServingNodes;
  };

  RolloutService(const NodeIdentity& aSelf,
                 const RolloutRule& aRule,
                 Hooks aHooks);

  void SetRule(const RolloutRule& aRule);
  /// To be called before the changes are applied to the targets.
  /// aRestoredAt is the end of the last outage of the store.
  void OnStoreChanges(const StoreMirror::Changes& aChanges,
                      std::optional<Instant> aRestoredAt);
  void OnNodesChanged();

private:
  struct StoredRecord
  {
    std::optional<RolloutRecord> mRecord;
    StoreRevision mRevision;
  };

  void OnOrder(const ServiceName& aService,
               const StoreChange& aChange,
               std::optional<Instant> aRestoredAt);
  void OnRecord(const ServiceName& aService, const StoreChange& aChange);
  [[nodiscard]] std::vector<std::string> ListedVersions(
    const RolloutOrder& aOrder) const;
  void OnDatagram(std::string_view aPayload);
  void OnTick();
  void Run(RolloutMachine* aMachine);
  void Write(const RolloutMachine& aMachine, const RolloutWrite& aWrite);
  void OnWriteDone(const RolloutOrder& aOrder,
                   const RolloutWrite& aWrite,
                   const Result<SwapOutcome>& aResult);
  void Send(const RolloutDispatch& aDispatch);
  void Log(const RolloutMachine& aMachine, const RolloutNotice& aNotice);
  [[nodiscard]] UnixMilliseconds WallTime() const;

  NodeIdentity mSelf;
  RolloutRule mRule;
  Hooks mHooks;
  RolloutBoard mBoard;
  /// This product's keys for services, as many as the store holds.
  std::map<ServiceName, StoredRecord> mRecords;
  std::map<NodeName, SocketAddress> mAddresses;
  Timer mTimer;
};

} // namespace verbenachute
