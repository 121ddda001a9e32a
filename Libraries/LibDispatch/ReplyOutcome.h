#pragma once

#include <LibCore/SubAnswer.h>
#include <LibCore/SubQuery.h>
#include <LibDispatch/TargetReply.h>

#include <variant>

namespace verbenachute {

/// What the node that sent a sub-query is told about a reply of the target.
/// Hits of another version or shard than the one asked for are dropped.
[[nodiscard]] std::variant<ShardResult, SubFailure>
OutcomeOf(const SubQuery& aSubQuery, const TargetReply& aReply);

} // namespace verbenachute
