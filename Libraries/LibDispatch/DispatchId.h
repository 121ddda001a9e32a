#pragma once

#include <LibCore/Strong.h>

#include <cstdint>

namespace verbenachute {

/// Identity of a sub-query at its gate, never used twice in a process. The
/// attempt ids of two nodes may be equal; this one names the work at a target.
using DispatchId = Strong<struct DispatchIdTag, std::uint64_t>;

} // namespace verbenachute
