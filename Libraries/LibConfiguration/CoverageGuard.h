#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <vector>

namespace verbenachute {

/// Finds a service or group that had a target for all callers, or for some,
/// before a change, and has none for them after it. Gives a Conflict that
/// names it, or Success.
[[nodiscard]] Result<Success>
CheckCoverageKept(const Configuration& aBefore,
                  const Configuration& aAfter,
                  const std::vector<CoverageGroup>& aGroups);

} // namespace verbenachute
