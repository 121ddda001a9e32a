#pragma once

#include <map>
#include <string>

namespace verbenachute {

/// Settings as text by the name of their flag, before they are checked.
using RawSettings = std::map<std::string, std::string>;

} // namespace verbenachute
