#pragma once

#include "CallerPort.h"
#include "DispatchService.h"
#include "LeaseService.h"
#include "MembershipService.h"
#include "OnceService.h"
#include "OperatorPort.h"
#include "ServingMode.h"

#include <LibMembership/LeavingProcess.h>
#include <LibObservation/Logger.h>
#include <LibTransport/EventLoop.h>

namespace verbenachute {

/// Carries out the graceful shutdown of a node.
class ShutdownService
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    MembershipService& mMembership;
    LeaseService& mLeases;
    DispatchService& mDispatch;
    OnceService& mOnce;
    Logger& mLogger;
  };

  ShutdownService(const LeavingProcess::Settings& aSettings,
                  Dependencies aDependencies);

  /// The ports whose requests are finished before the end; they outlive this.
  void SetCallerPort(const CallerPort& aPort);
  void SetOperatorPort(const OperatorPort& aPort);
  /// SIGTERM or SIGINT: the first asks for a shutdown, the second gives up.
  void OnSignal();
  void OnTick();
  /// Another life has this node's name: this one ends at once.
  void EndNow();

  [[nodiscard]] ServingMode Mode() const;
  /// Whether this node may hold buckets and be asked to.
  [[nodiscard]] bool MayHoldBuckets() const;
  /// The status with which the process ends.
  [[nodiscard]] int ExitStatus() const;

private:
  [[nodiscard]] LeavingFacts Facts() const;
  [[nodiscard]] bool HasSuccessor() const;
  void CarryOut(const std::vector<LeavingAction>& aActions);
  void LogPhase();
  void Exit();

  enum class Holding
  {
    Allowed,
    HandingOver,
  };

  Dependencies mDependencies;
  LeavingProcess mProcess;
  const CallerPort* mCallerPort = nullptr;
  const OperatorPort* mOperatorPort = nullptr;
  LeavingPhase mLoggedPhase = LeavingPhase::Serving;
  ServingMode mMode = ServingMode::Serving;
  Holding mHolding = Holding::Allowed;
  int mExitStatus = 0;
};

} // namespace verbenachute
