#pragma once

#include "World.h"

#include <functional>
#include <map>
#include <string>

namespace verbenachute::review {

/// The cases by name. Each prepares its world and schedules what happens.
[[nodiscard]] const std::map<std::string, std::function<void(World&)>>&
Cases();

} // namespace verbenachute::review
