#include "Flags.h"

#include <LibSettings/EnvironmentSettings.h>
#include <LibSettings/SettingTable.h>
#include <LibSettings/SettingsFile.h>
#include <platform/Environment.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include <string>
#include <string_view>
#include <vector>

// An empty flag was not given; the defaults stand in the table of settings.
ABSL_FLAG(std::string, name, "", "see below");
ABSL_FLAG(std::string, region, "", "see below");
ABSL_FLAG(std::string, failure_domain, "", "see below");
ABSL_FLAG(std::string, caller_address, "", "see below");
ABSL_FLAG(std::string, peer_address, "", "see below");
ABSL_FLAG(std::string, operator_address, "", "see below");
ABSL_FLAG(std::string, domains, "", "see below");
ABSL_FLAG(std::string, platform, "", "see below");
ABSL_FLAG(std::string, seeds, "", "see below");
ABSL_FLAG(std::string, address_validity_ms, "", "see below");
ABSL_FLAG(std::string, ticket_validity_ms, "", "see below");
ABSL_FLAG(std::string, drain_limit_ms, "", "see below");
ABSL_FLAG(std::string, query_limit, "", "see below");
ABSL_FLAG(std::string, hedge_policy, "", "see below");
ABSL_FLAG(std::string, extra_load_per_mille, "", "see below");
ABSL_FLAG(std::string, dispatch, "", "see below");
ABSL_FLAG(std::string, ready_address, "", "see below");
ABSL_FLAG(std::string, directory_address, "", "see below");
ABSL_FLAG(std::string, retry_ratio, "", "see below");
ABSL_FLAG(std::string, retry_window_s, "", "see below");
ABSL_FLAG(std::string, retry_slack, "", "see below");
ABSL_FLAG(std::string, quota_window_s, "", "see below");
ABSL_FLAG(std::string, quota_overshoot, "", "see below");
ABSL_FLAG(std::string, quota_slack, "", "see below");
ABSL_FLAG(std::string, canary_share, "", "see below");
ABSL_FLAG(std::string, canary_slack, "", "see below");
ABSL_FLAG(std::string, rollback_ms, "", "see below");
ABSL_FLAG(std::string, grace_s, "", "see below");
ABSL_FLAG(std::string, processor_share, "", "see below");
ABSL_FLAG(std::string, processor_speed, "", "see below");
ABSL_FLAG(std::string, gather_address, "", "see below");
ABSL_FLAG(std::string, load_admission, "", "see below");
ABSL_FLAG(std::string, gathering, "", "see below");
ABSL_FLAG(std::string, partial_answers, "", "see below");
ABSL_FLAG(std::string, settings_file, "", "file with further settings");
ABSL_FLAG(bool, check, false, "check the settings and end");

namespace verbenachute {

namespace {

std::string
UsageText()
{
  std::string text =
    "runs one node of the query tier.\n\nEach setting is a flag or an "
    "environment variable, VERBENACHUTE_ and the name\nin capitals:\n\n";
  for (const SettingDescription& setting : SettingTable()) {
    text += std::string("  --") + setting.mName + "\n      " +
            setting.mMeaning + "\n      allowed: " + setting.mAllowed;
    text += setting.mDefault[0] == '\0'
              ? std::string("; must be given\n")
              : std::string("; default: ") + setting.mDefault + "\n";
  }
  text += "  --settings_file\n      file with lines 'name = value'; flags and "
          "variables win over it;\n      read again at SIGHUP and when it "
          "changes\n";
  return text + "  --check\n      checks the settings and ends\n";
}

void
AddGivenFlags(RawSettings* aSettings)
{
  for (const SettingDescription& setting : SettingTable()) {
    const absl::CommandLineFlag* flag =
      absl::FindCommandLineFlag(setting.mName);
    if (flag != nullptr && flag->CurrentValue() != flag->DefaultValue()) {
      (*aSettings)[setting.mName] = flag->CurrentValue();
    }
  }
}

} // namespace

Result<CommandLine>
ReadCommandLine(int aCount, char** aWords, const char* const* aEnvironment)
{
  absl::SetProgramUsageMessage(UsageText());
  absl::FlagsUsageConfig usage;
  // The table above says more than Abseil's own list of flags.
  usage.contains_help_flags = [](absl::string_view) { return false; };
  usage.contains_helpshort_flags = usage.contains_help_flags;
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> rest = absl::ParseCommandLine(aCount, aWords);
  if (rest.size() > 1) {
    return Error{ Step::Settings,
                  ErrorCode::InvalidInput,
                  "",
                  std::string("'") + rest[1] + "' is no flag" };
  }
  Result<RawSettings> settings =
    ReadEnvironmentSettings(aEnvironment, platform::kSettingsPathVariable);
  if (IsError(settings)) {
    return ErrorOf(settings);
  }
  CommandLine commandLine;
  commandLine.mSettings = ReleaseValue(std::move(settings));
  AddGivenFlags(&commandLine.mSettings);
  commandLine.mSettingsFile = absl::GetFlag(FLAGS_settings_file);
  if (absl::GetFlag(FLAGS_check)) {
    commandLine.mMode = StartMode::CheckOnly;
  }
  return commandLine;
}

Result<Settings>
LoadSettings(const CommandLine& aCommandLine)
{
  RawSettings raw = aCommandLine.mSettings;
  if (!aCommandLine.mSettingsFile.empty()) {
    Result<RawSettings> file = ReadSettingsFile(aCommandLine.mSettingsFile);
    if (IsError(file)) {
      return ErrorOf(file);
    }
    // Keeps what stands there already.
    raw.merge(ReleaseValue(std::move(file)));
  }
  return Settings::Create(raw);
}

} // namespace verbenachute
