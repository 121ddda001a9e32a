#pragma once

#include <LibCore/Error.h>
#include <LibMembership/MemberHeartbeat.h>

#include <json/json.h>

namespace verbenachute {

/// JSON form of a heartbeat. The reader gives InvalidInput for anything that
/// the writer does not write.
[[nodiscard]] Json::Value
WriteHeartbeat(const MemberHeartbeat& aHeartbeat);
[[nodiscard]] Result<MemberHeartbeat>
ReadHeartbeat(const Json::Value& aValue);

} // namespace verbenachute
