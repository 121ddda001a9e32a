#pragma once

#include <LibForward/Delegation.h>

#include <variant>

namespace verbenachute {

/// Asks a peer to gather shards.
struct GatherOrder
{
  DelegationNumber mNumber;
  /// Steady clock of the node that asks when it sent this, from any origin.
  Duration mSent{ 0 };
  DelegatedOrder mOrder;
};

/// Takes an order back, or tells that nothing more is needed of it.
struct GatherRecall
{
  DelegationNumber mNumber;
  RecallReason mReason = RecallReason::Settled;
};

/// Answers an order; an order may get several.
struct GatherAnswer
{
  DelegationNumber mNumber;
  DelegationAnswer mAnswer;
  /// No further answer to the order follows.
  bool mLast = false;
};

/// What two nodes say over a link for delegations. Orders and recalls go from
/// the node that dialled, answers come back.
using GatherMessage = std::variant<GatherOrder, GatherRecall, GatherAnswer>;

} // namespace verbenachute
