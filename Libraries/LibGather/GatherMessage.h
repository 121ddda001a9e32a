#pragma once

#include <LibForward/Delegation.h>

#include <variant>

namespace verbenachute {

/// Requests a peer to gather shards.
struct GatherRequest
{
  DelegationNumber mNumber;
  /// Time of sending by the requesting node's steady clock, whose origin is
  /// arbitrary.
  Duration mSent{ 0 };
  DelegationRequest mDelegationRequest;
};

/// Cancels a request, or reports that nothing more is needed of it.
struct GatherCancellation
{
  DelegationNumber mNumber;
  CancelReason mReason = CancelReason::Completed;
};

/// Response to a request; a request may get several.
struct GatherResponse
{
  DelegationNumber mNumber;
  DelegationResponse mAnswer;
  /// No further response to the request follows.
  bool mIsFinal = false;
};

/// Messages on a link for delegations. The node that opened the link sends
/// requests and cancellations, its peer sends responses.
using GatherMessage =
  std::variant<GatherRequest, GatherCancellation, GatherResponse>;

} // namespace verbenachute
