#pragma once

#include <LibCore/Error.h>

#include <string>
#include <vector>

namespace verbenachute {

/// Draws the latencies of a class from the metrics of several nodes, added
/// up. NotFound if no node has any of that class.
[[nodiscard]] Result<std::string>
HistogramText(const std::vector<std::string>& aMetrics,
              const std::string& aClass);

} // namespace verbenachute
