#pragma once

#include <LibCore/QueryAnswer.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/SubQuery.h>

#include <variant>

namespace verbenachute {

/// Identifies one relay of a request from one node to another.
using RelayId = Strong<struct RelayIdTag, std::uint64_t>;

/// Notifies the holder of a target that the result of an attempt is no longer
/// needed.
struct SubCancel
{
  AttemptId mAttempt;
};

/// Relays a non-idempotent request to the node incarnation named in its ticket.
struct RelayedRequest
{
  RelayId mRelay;
  QueryRequest mRequest;
};

/// The outcome of a relayed request.
struct RelayedOutcome
{
  RelayId mRelay;
  QueryOutcome mOutcome;
};

/// A message of the data path between two nodes. The index of a type in the
/// variant is its number on the wire, so the order has to stay.
using PeerMessage =
  std::variant<SubQuery, SubAnswer, SubCancel, RelayedRequest, RelayedOutcome>;

} // namespace verbenachute
