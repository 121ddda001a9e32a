#pragma once

#include <span>

namespace verbenachute {

/// One flag of the tool. Its environment variable is VERBENACHUTE_ and the
/// name in capitals.
struct ToolFlag
{
  const char* mName;
  /// Empty for a flag that has no default.
  const char* mDefault;
  const char* mMeaning;
};

/// All flags, in the order of the help.
[[nodiscard]] std::span<const ToolFlag>
ToolFlagTable();

} // namespace verbenachute
