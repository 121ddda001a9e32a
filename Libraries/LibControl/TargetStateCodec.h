#pragma once

#include <LibCore/Error.h>
#include <LibCore/TargetState.h>

#include <json/json.h>

#include <vector>

namespace verbenachute {

/// JSON form of what a holder tells about its targets.
[[nodiscard]] Json::Value
WriteTargetStates(const std::vector<TargetState>& aStates);
/// InvalidInput for anything that WriteTargetStates does not write.
[[nodiscard]] Result<std::vector<TargetState>>
ReadTargetStates(const Json::Value& aValue);

/// JSON form of the versions of a target, as targets themselves send it.
[[nodiscard]] Json::Value
WriteHeldVersions(const std::vector<HeldVersion>& aVersions);
[[nodiscard]] Result<std::vector<HeldVersion>>
ReadHeldVersions(const Json::Value& aValue);

} // namespace verbenachute
