#pragma once

#include <map>
#include <string>

namespace verbenachute {

/// Unvalidated settings: the value as text by the name of the flag.
using RawSettings = std::map<std::string, std::string>;

} // namespace verbenachute
