#pragma once

#include <LibCore/Identifiers.h>

#include <cstddef>
#include <vector>

namespace verbenachute {

/// The first of the nodes for a service by rendezvous hashing, at most aCount.
/// The first one coordinates the orders of the service; the others have its
/// data, to continue if it fails.
[[nodiscard]] std::vector<NodeName>
RolloutLeaders(const ServiceName& aService,
               const std::vector<NodeName>& aNodes,
               std::size_t aCount);

} // namespace verbenachute
