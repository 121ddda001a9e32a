#pragma once

#include <LibCore/Time.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// What is known of an idle connection to a target.
struct IdleConnection
{
  Duration mIdle{ 0 };
  /// How long the target keeps an idle connection, as it has said.
  Duration mKept{ 0 };
};

/// Whether a connection may carry another request: not in the last part of the
/// time for which the target keeps it, so that it is not closed under one.
[[nodiscard]] bool
IsFitForUse(const IdleConnection& aConnection);

/// Which of the idle connections to one target to close, by their places: those
/// that are not fit any more, and all but the one used last once they have not
/// been needed for a moment. A node that loses power leaves its connections
/// open at the targets; the fewer, the sooner its next life can connect.
[[nodiscard]] std::vector<std::size_t>
SurplusConnections(const std::vector<IdleConnection>& aIdle);

} // namespace verbenachute
