#pragma once

#include <LibConfiguration/ConfigurationContent.h>
#include <LibConfiguration/Edit.h>

namespace verbenachute {

/// The differences that the edit makes between two contents.
[[nodiscard]] std::vector<Difference>
DifferencesOf(const Edit& aEdit,
              const ConfigurationContent& aBefore,
              const ConfigurationContent& aAfter);

} // namespace verbenachute
