#pragma once

#include "LeaseService.h"
#include "TargetPort.h"

#include <LibDispatch/DispatchGate.h>
#include <LibTransport/PeerPort.h>
#include <LibTransport/Timer.h>

#include <map>
#include <memory>

namespace verbenachute {

/// Carries out the decisions of the dispatch gate of this node.
class DispatchService
{
public:
  using AnswerSignal = sigc::signal<void(const SubAnswer&)>;
  using StateSignal = sigc::signal<void(const TargetState&)>;
  using PoisonSignal = sigc::signal<void(const PoisonReport&)>;

  DispatchService(EventLoop& aLoop,
                  const NodeIdentity& aSelf,
                  const DispatchSettings& aSettings,
                  LeaseService& aLeases,
                  Logger& aLogger);

  /// Takes a sub-query of this node; LocalAnswer follows.
  void Submit(const SubQuery& aSubQuery);
  void Cancel(AttemptId aAttempt);
  /// Takes a message of a peer; its answer goes back over the session.
  void OnPeerMessage(const PeerPort::SessionHandle& aSession,
                     const PeerMessage& aMessage);

  void OnConfiguration(const std::shared_ptr<const ConfigurationView>& aView);
  void OnTargetState(const TargetState& aState);
  void OnPoisonReport(const PoisonReport& aReport);
  [[nodiscard]] std::vector<PoisonReport> PoisonReports();
  /// Sub-queries that wait or may still run at targets held by this node.
  [[nodiscard]] std::size_t InHand() const;

  /// Answers to sub-queries of this node.
  [[nodiscard]] AnswerSignal& LocalAnswer();
  /// States of targets that this node holds.
  [[nodiscard]] StateSignal& StatePublished();
  [[nodiscard]] PoisonSignal& PoisonFound();

private:
  void ConnectSignals(LeaseService& aLeases);
  void CarryOut(const DispatchActions& aActions);
  void LogCondition(const TargetState& aState);
  void Perform(const SendToTarget& aAction);
  void Perform(const CancelAtTarget& aAction);
  void Perform(const CloseExchange& aAction);
  void Perform(const AnswerSubQuery& aAction);
  void Perform(const ProbeTarget& aAction);
  void Perform(const PublishTargetState& aAction);
  void Perform(const ReportPoison& aAction);
  void Perform(const CloseIdleConnections& aAction);
  void Perform(const BucketDrained& aAction);
  void Perform(const WakeGateAt& aAction);

  EventLoop& mLoop;
  NodeIdentity mSelf;
  LeaseService& mLeases;
  Logger& mLogger;
  DispatchGate mGate;
  TargetPort mTargets;
  Timer mTimer;
  std::map<NodeIdentity, PeerPort::SessionHandle> mSessions;
  // What the log last told of each target.
  std::map<TargetName, TargetCondition> mConditions;
  AnswerSignal mLocalAnswer;
  StateSignal mStatePublished;
  PoisonSignal mPoisonFound;
};

} // namespace verbenachute
