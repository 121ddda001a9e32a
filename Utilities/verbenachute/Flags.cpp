#include "Flags.h"

#include <LibCore/Verify.h>
#include <LibOperator/ToolFlagTable.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/reflection.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

// The table of flags has defaults and meanings; an empty text or false was
// not given.
ABSL_FLAG(std::string, node, "", "see below");
ABSL_FLAG(std::string, operator, "", "see below");
ABSL_FLAG(std::string, class, "", "see below");
ABSL_FLAG(std::string, operation_id, "", "see below");
ABSL_FLAG(std::string, output, "", "see below");
ABSL_FLAG(std::string, timeout_ms, "", "see below");
ABSL_FLAG(std::string, platform, "", "see below");
ABSL_FLAG(std::string, file, "", "see below");
ABSL_FLAG(std::string, service, "", "see below");
ABSL_FLAG(std::string, address, "", "see below");
ABSL_FLAG(std::string, domain, "", "see below");
ABSL_FLAG(std::string, slots, "", "see below");
ABSL_FLAG(std::string, connections, "", "see below");
ABSL_FLAG(std::string, caller, "", "see below");
ABSL_FLAG(std::string, callers, "", "see below");
ABSL_FLAG(std::string, caller_address, "", "see below");
ABSL_FLAG(std::string, request_id, "", "see below");
ABSL_FLAG(std::string, deadline_ms, "", "see below");
ABSL_FLAG(std::string, limit, "", "see below");
ABSL_FLAG(std::string, idempotent, "", "see below");
ABSL_FLAG(std::string, ticket, "", "see below");
ABSL_FLAG(std::string, updates, "", "see below");
ABSL_FLAG(bool, dry_run, false, "see below");
ABSL_FLAG(bool, override, false, "see below");

namespace verbenachute {

namespace {

ToolInput::Flags
GivenFlags()
{
  ToolInput::Flags given;
  for (const ToolFlag& flag : ToolFlagTable()) {
    const absl::CommandLineFlag* found = absl::FindCommandLineFlag(flag.mName);
    VERIFY(found != nullptr);
    if (found->CurrentValue() != found->DefaultValue()) {
      given[flag.mName] = found->CurrentValue();
    }
  }
  return given;
}

} // namespace

Result<ToolInput>
ReadToolInput(int aCount,
              char** aWords,
              const char* const* aEnvironment,
              const std::string& aUsage)
{
  absl::SetProgramUsageMessage(aUsage);
  absl::FlagsUsageConfig usage;
  // The usage has the flags with their meanings already.
  usage.contains_help_flags = [](absl::string_view) { return false; };
  usage.contains_helpshort_flags = usage.contains_help_flags;
  absl::SetFlagsUsageConfig(usage);
  const std::vector<char*> rest = absl::ParseCommandLine(aCount, aWords);
  Result<ToolInput::Flags> flags =
    ToolInput::MergeFlags(aEnvironment, GivenFlags());
  if (IsError(flags)) {
    return ErrorOf(flags);
  }
  return ToolInput({ rest.begin() + 1, rest.end() }, ValueOf(flags));
}

} // namespace verbenachute
