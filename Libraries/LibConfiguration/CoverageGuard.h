#pragma once

#include <LibConfiguration/Change.h>
#include <LibConfiguration/Configuration.h>

#include <vector>

namespace verbenachute {

/// Fails with a Conflict if a service or group had a target for all callers, or
/// for some, before a change and has none for them after it. The message names
/// it.
[[nodiscard]] Result<Success>
CheckCoverageKept(const Configuration& aBefore,
                  const Configuration& aAfter,
                  const std::vector<CoverageGroup>& aGroups);

} // namespace verbenachute
