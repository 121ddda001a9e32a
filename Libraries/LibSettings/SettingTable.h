#pragma once

#include <span>

namespace verbenachute {

/// One setting of the daemon. Its environment variable is VERBENACHUTE_ and the
/// name in capitals.
struct SettingDescription
{
  /// Name of the flag.
  const char* mName;
  /// Default value; empty for a required setting.
  const char* mDefault;
  /// Allowed values, as help and error messages show them.
  const char* mAllowed;
  /// Help text.
  const char* mMeaning;
};

/// All settings of the daemon, in the order in which the help lists them.
[[nodiscard]] std::span<const SettingDescription>
SettingTable();

/// The description of a setting. The name must be in the table; any other name
/// ends the process.
[[nodiscard]] const SettingDescription&
DescriptionOf(const char* aName);

} // namespace verbenachute
