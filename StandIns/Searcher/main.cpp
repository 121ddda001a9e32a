#include "SearcherFleet.h"

#include <Common/JsonText.h>
#include <LibCore/SocketAddressText.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <sstream>

ABSL_FLAG(std::string,
          targets_file,
          "",
          "File with {\"targets\":[...]}, one entry a searcher.");
ABSL_FLAG(std::string,
          domain,
          "",
          "Host only the targets of this failure domain; empty for all.");
ABSL_FLAG(std::string, control_address, "", "Control port, as IP:PORT.");
ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the service times.");

namespace verbenachute::standins {

namespace {

std::vector<TargetSettings>
ReadTargets(const std::string& aFile, const std::string& aDomain)
{
  std::stringstream text;
  text << std::ifstream(aFile).rdbuf();
  const std::optional<Json::Value> document = ParseJsonObject(text.str());
  std::vector<TargetSettings> targets;
  if (!document) {
    return targets;
  }
  for (const Json::Value& entry : (*document)["targets"]) {
    const Result<TargetSettings> settings = ReadTargetSettings(entry);
    if (IsError(settings)) {
      std::fprintf(stderr, "%s\n", ErrorOf(settings).mMessage.c_str());
      std::exit(EXIT_FAILURE);
    }
    if (aDomain.empty() || ValueOf(settings).mDomain.value() == aDomain) {
      targets.push_back(ValueOf(settings));
    }
  }
  return targets;
}

int
Run()
{
  const Result<SocketAddress> control =
    ParseSocketAddress(absl::GetFlag(FLAGS_control_address));
  const std::vector<TargetSettings> targets =
    ReadTargets(absl::GetFlag(FLAGS_targets_file), absl::GetFlag(FLAGS_domain));
  if (IsError(control) || targets.empty()) {
    std::fprintf(
      stderr, "--control_address and a --targets_file with targets, please\n");
    return EXIT_FAILURE;
  }
  EventLoop loop;
  const SearcherFleet fleet(
    loop, ValueOf(control), targets, absl::GetFlag(FLAGS_seed));
  loop.Run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage("Stand-in of many searchers on loopback.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::standins::Run();
}
