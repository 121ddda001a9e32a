#pragma once

#include <LibCore/SubQuery.h>
#include <LibCore/Time.h>
#include <LibDispatch/TargetReply.h>
#include <LibTransport/HttpMessage.h>

#include <string>

namespace verbenachute {

/// The body of POST /v1/query at a target. aAttempt names the work at the
/// target, aTimeLeft and aDeadline say when it must have ended.
[[nodiscard]] std::string
WriteTargetQuery(const SubQuery& aSubQuery,
                 const std::string& aAttempt,
                 Duration aTimeLeft,
                 UnixMilliseconds aDeadline);

/// Reads a reply to POST /v1/query. A reply that is not as described, or
/// answers another attempt, is Unreadable.
[[nodiscard]] TargetReply
ParseTargetReply(const HttpReply& aReply, const std::string& aAttempt);

/// Reads a reply to POST /v1/cancel.
[[nodiscard]] CancelOutcome
ParseCancelReply(const HttpReply& aReply);

/// Reads a reply to GET /v1/versions.
[[nodiscard]] Result<std::vector<HeldVersion>>
ParseVersionsReply(const HttpReply& aReply);

} // namespace verbenachute
