#pragma once

#include "DispatchService.h"
#include "HolderDirectory.h"

#include <LibConfiguration/Change.h>
#include <LibObservation/MetricsRegistry.h>
#include <LibQuery/QueryEngine.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <functional>
#include <map>
#include <memory>

namespace verbenachute {

/// Runs the queries of this node: carries out the decisions of the query
/// engine and takes each sub-query to the holder of its target.
class QueryService
{
public:
  using Done = std::function<void(const QueryOutcome&)>;

  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    DispatchService& mDispatch;
    LeaseService& mLeases;
    const HolderDirectory& mHolders;
    MetricsRegistry& mMetrics;
  };

  QueryService(const QueryEngineSettings& aSettings,
               Dependencies aDependencies);

  /// Runs a request. aDone is called once, from a later turn of the loop or
  /// before the return.
  QueryId Submit(const QueryRequest& aRequest, Done aDone);
  /// The caller hung up. aDone is still called for the query.
  void CallerDisconnected(QueryId aQuery);

  void OnConfiguration(const std::shared_ptr<const ConfigurationView>& aView);
  void OnTargetState(const NodeIdentity& aHolder, const TargetState& aState);
  void OnHolderLost(const NodeIdentity& aHolder);

  /// The shards of the newest version of a service with the targets that
  /// have them; shards that no target has are left out.
  [[nodiscard]] std::vector<CoverageGroup> ShardGroupsOf(
    const ServiceName& aService);
  [[nodiscard]] std::size_t QueryCount() const;
  /// Answers that came when their attempt was over.
  [[nodiscard]] std::uint64_t LateAnswers() const;

private:
  // Attempts by query, so that all of a finished query are forgotten at once.
  using AttemptKey = std::pair<QueryId, AttemptId>;

  void CarryOut(const QueryActions& aActions);
  void Perform(const SendSubQuery& aAction);
  void Perform(const CancelSubQuery& aAction);
  void Perform(const WakeAt& aAction);
  void Perform(const CompleteQuery& aAction);
  void CountAttempt(AttemptKind aKind);
  void ForgetAttempts(QueryId aQuery);
  void FailSoon(const SubQuery& aSubQuery,
                const Error& aError,
                Execution aExecution);
  void OnAnswer(const SubAnswer& aAnswer);
  void OnRefused(const PeerMessage& aMessage);
  void OnLinkFailed(const SocketAddress& aAddress);
  void ArmTimer();

  Dependencies mDependencies;
  QueryEngine mEngine;
  Timer mTimer;
  std::shared_ptr<const ConfigurationView> mView;
  std::map<QueryId, Done> mDone;
  std::map<AttemptKey, SocketAddress> mRemote;
};

} // namespace verbenachute
