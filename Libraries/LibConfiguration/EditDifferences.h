#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/Edit.h>

namespace verbenachute {

/// What differs between two contents in what the edit touches.
[[nodiscard]] std::vector<Difference>
DifferencesOf(const Edit& aEdit,
              const ConfigurationContent& aBefore,
              const ConfigurationContent& aAfter);

} // namespace verbenachute
