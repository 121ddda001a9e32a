#pragma once

#include "DispatchService.h"
#include "MembershipService.h"
#include "QueryService.h"

#include <LibControl/TargetStateSpreader.h>

#include <memory>

namespace verbenachute {

/// Brings what holders know about targets and poison to all nodes.
class StateService
{
public:
  struct Dependencies
  {
    EventLoop& mLoop;
    PeerPort& mPeers;
    MembershipService& mMembership;
    DispatchService& mDispatch;
    QueryService& mQueries;
  };

  StateService(const NodeIdentity& aSelf, Dependencies aDependencies);

  /// Sends what is due.
  void OnTick();
  [[nodiscard]] Result<Json::Value> AnswerStates(const NodeIdentity& aPeer,
                                                 const Json::Value& aInput);
  [[nodiscard]] Result<Json::Value> AnswerPoison(const Json::Value& aInput);

private:
  void OnPublished(const TargetState& aState);
  void OnPoison(const PoisonReport& aReport);
  void Deliver(const StateDelivery& aDelivery);

  NodeIdentity mSelf;
  Dependencies mDependencies;
  TargetStateSpreader mSpreader;
};

} // namespace verbenachute
