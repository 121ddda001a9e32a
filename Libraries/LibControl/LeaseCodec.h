#pragma once

#include <LibLease/LeaseRelease.h>
#include <LibLease/LeaseReply.h>
#include <LibLease/LeaseRequest.h>
#include <LibLease/Roster.h>

#include <LibCore/Error.h>

#include <json/json.h>

namespace verbenachute {

/// JSON forms of the lease messages. Buckets are written as one 16-bit mask
/// for each failure domain. The readers give InvalidInput for anything else.
[[nodiscard]] Json::Value
BucketMasks(const std::vector<Bucket>& aBuckets);
[[nodiscard]] Result<std::vector<Bucket>>
ReadBucketMasks(const Json::Value& aValue);

[[nodiscard]] Json::Value
WriteLeaseRequest(const LeaseRequest& aRequest);
[[nodiscard]] Result<LeaseRequest>
ReadLeaseRequest(const Json::Value& aValue);

[[nodiscard]] Json::Value
WriteLeaseReply(const LeaseReply& aReply);
[[nodiscard]] Result<LeaseReply>
ReadLeaseReply(const Json::Value& aValue);

[[nodiscard]] Json::Value
WriteLeaseRelease(const LeaseRelease& aRelease);
[[nodiscard]] Result<LeaseRelease>
ReadLeaseRelease(const Json::Value& aValue);

[[nodiscard]] Json::Value
WriteRoster(const Roster& aRoster);
[[nodiscard]] Result<Roster>
ReadRoster(const Json::Value& aValue);

} // namespace verbenachute
