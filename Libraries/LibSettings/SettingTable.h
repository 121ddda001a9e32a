#pragma once

#include <span>

namespace verbenachute {

/// One setting: its flag and what is allowed. The environment variable is
/// VERBENACHUTE_ and the name in capitals.
struct SettingDescription
{
  const char* mName;
  /// Empty for a setting that must be given.
  const char* mDefault;
  /// What is allowed, as it stands in help and in errors.
  const char* mAllowed;
  const char* mMeaning;
};

/// All settings of the daemon, in the order of its help.
[[nodiscard]] std::span<const SettingDescription>
SettingTable();

/// The description of a setting that is in the table.
[[nodiscard]] const SettingDescription&
DescriptionOf(const char* aName);

} // namespace verbenachute
