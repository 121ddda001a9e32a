#pragma once

#include "Soak.h"

#include <functional>
#include <map>
#include <string>

namespace verbenachute::review {

/// The cases by name. Each prepares its soak and schedules what happens.
[[nodiscard]] const std::map<std::string, std::function<void(Soak&)>>&
Cases();

} // namespace verbenachute::review
