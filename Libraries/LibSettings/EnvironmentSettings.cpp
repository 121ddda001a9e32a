#include <LibSettings/EnvironmentSettings.h>

#include <LibSettings/SettingTable.h>

#include <algorithm>
#include <cctype>
#include <string>
#include <string_view>

namespace verbenachute {

namespace {

constexpr std::string_view kPrefix = "VERBENACHUTE_";

std::string
SettingNameOf(std::string_view aVariable)
{
  std::string name(aVariable.substr(kPrefix.size()));
  std::transform(
    name.begin(), name.end(), name.begin(), [](unsigned char aCharacter) {
      return static_cast<char>(std::tolower(aCharacter));
    });
  return name;
}

} // namespace

Result<RawSettings>
ReadEnvironmentSettings(const char* const* aEnvironment,
                        std::string_view aIgnoredVariable)
{
  RawSettings settings;
  for (; *aEnvironment != nullptr; ++aEnvironment) {
    const std::string_view entry(*aEnvironment);
    if (!entry.starts_with(kPrefix)) {
      continue;
    }
    const std::size_t equals = std::min(entry.find('='), entry.size());
    const std::string_view variable = entry.substr(0, equals);
    if (variable == aIgnoredVariable) {
      continue;
    }
    const std::string name = SettingNameOf(variable);
    const std::span<const SettingDescription> table = SettingTable();
    const bool known = std::any_of(
      table.begin(), table.end(), [&](const SettingDescription& aSetting) {
        return name == aSetting.mName;
      });
    if (!known) {
      return Error{ Step::Settings,
                    ErrorCode::InvalidInput,
                    "",
                    "environment variable " + std::string(variable) +
                      " names no setting" };
    }
    settings[name] =
      std::string(entry.substr(std::min(equals + 1, entry.size())));
  }
  return settings;
}

} // namespace verbenachute
