#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// An idle connection to a target.
struct IdleConnection
{
  Duration mIdleTime{ 0 };
  /// How long the target keeps an idle connection open, as it announced.
  Duration mKeepAliveTimeout{ 0 };
};

/// Whether a connection may carry another request. False near the end of the
/// time for which the target keeps it open, so that the target does not close
/// it while a request is on its way.
[[nodiscard]] bool
IsReusable(const IdleConnection& aConnection);

/// Returns the indexes of the idle connections to one target that should be
/// closed, in ascending order: those that are no longer reusable, and all but
/// the most recently used one once they have been idle for a moment. A node
/// that loses power leaves its connections open at the targets; the fewer there
/// are, the sooner the restarted node can connect.
[[nodiscard]] std::vector<std::size_t>
SurplusConnections(const std::vector<IdleConnection>& aIdle);

} // namespace verbenachute
