#pragma once

#include <LibCore/QueryAnswer.h>
#include <LibCore/QueryRequest.h>
#include <LibCore/SubAnswer.h>
#include <LibCore/SubQuery.h>

#include <variant>

namespace verbenachute {

/// Identity of one passing of a request from one node to another.
using RelayId = Strong<struct RelayIdTag, std::uint64_t>;

/// Tells the holder of a target that nobody waits for an attempt any more.
struct SubCancel
{
  AttemptId mAttempt;
};

/// Passes a non-idempotent request to the life of a node that its ticket names.
struct RelayedRequest
{
  RelayId mRelay;
  QueryRequest mRequest;
};

/// The outcome of a request that was passed on.
struct RelayedOutcome
{
  RelayId mRelay;
  QueryOutcome mOutcome;
};

/// A message of the data path between two nodes.
using PeerMessage =
  std::variant<SubQuery, SubAnswer, SubCancel, RelayedRequest, RelayedOutcome>;

} // namespace verbenachute
