#pragma once

#include <LibCore/Identifiers.h>
#include <LibCore/QueryAnswer.h>
#include <LibCore/SubQuery.h>
#include <LibCore/Time.h>

#include <variant>
#include <vector>

namespace verbenachute {

/// Send a sub-query to the node that holds its target.
struct SendSubQuery
{
  SubQuery mSubQuery;
};

/// Tell the holder of a target that the result of an attempt is not needed.
/// Whatever still comes back for the attempt is dropped.
struct CancelSubQuery
{
  QueryId mQuery;
  AttemptId mAttempt;
  TargetName mTarget;
};

/// Call OnTimer at this instant; takes the place of the query's earlier one.
struct WakeAt
{
  QueryId mQuery;
  Instant mAt;
};

/// Answer the caller. Given once for each query, as its last action.
struct CompleteQuery
{
  QueryId mQuery;
  QueryOutcome mOutcome;
};

using QueryAction =
  std::variant<SendSubQuery, CancelSubQuery, WakeAt, CompleteQuery>;
using QueryActions = std::vector<QueryAction>;

} // namespace verbenachute
