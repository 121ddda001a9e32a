#pragma once

#include <LibForward/Delegation.h>

#include <variant>

namespace verbenachute {

/// Requests a peer to gather shards.
struct GatherOrder
{
  DelegationNumber mNumber;
  /// Time of sending by the requesting node's steady clock, whose origin is
  /// arbitrary.
  Duration mSent{ 0 };
  DelegatedOrder mOrder;
};

/// Cancels an order, or reports that nothing more is needed of it.
struct GatherRecall
{
  DelegationNumber mNumber;
  RecallReason mReason = RecallReason::Settled;
};

/// Answer to an order; an order may get several.
struct GatherAnswer
{
  DelegationNumber mNumber;
  DelegationAnswer mAnswer;
  /// No further answer to the order follows.
  bool mLast = false;
};

/// Messages on a link for delegations. The node that opened the link sends
/// orders and recalls, its peer sends answers.
using GatherMessage = std::variant<GatherOrder, GatherRecall, GatherAnswer>;

} // namespace verbenachute
