#include "CrowdClient.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <map>
#include <memory>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, kind, "", "What the clients do, or \"all\".");
ABSL_FLAG(std::uint32_t, clients, 0, "Clients of each kind.");
ABSL_FLAG(std::uint32_t, port, 0, "Port of the node on 127.0.0.1.");

namespace verbenachute::standins {

namespace {

constexpr std::chrono::milliseconds kRound(100);
// The crowd stays for this many rounds, which is longer than the header
// timeout.
constexpr int kRounds = 60;

const std::map<std::string, std::vector<CrowdKind>> kKinds = {
  { "bodies", { CrowdKind::Bodies } },
  { "chunked", { CrowdKind::Chunked } },
  { "heads", { CrowdKind::Heads } },
  { "pipelined", { CrowdKind::Pipelined } },
  { "slow-readers", { CrowdKind::SlowReaders } },
  { "half-open", { CrowdKind::HalfOpen } },
  { "queries", { CrowdKind::Queries } },
  { "short-queries", { CrowdKind::ShortQueries } },
  { "fields", { CrowdKind::Fields } },
  { "frames", { CrowdKind::Frames } },
  { "all",
    { CrowdKind::Bodies,
      CrowdKind::Chunked,
      CrowdKind::Heads,
      CrowdKind::Pipelined,
      CrowdKind::SlowReaders,
      CrowdKind::HalfOpen } },
};

int
Run()
{
  const auto kinds = kKinds.find(absl::GetFlag(FLAGS_kind));
  if (kinds == kKinds.end() || absl::GetFlag(FLAGS_port) == 0) {
    std::fprintf(stderr, "--kind, --clients and --port are required\n");
    return EXIT_FAILURE;
  }
  std::vector<CrowdScript> scripts;
  for (const CrowdKind kind : kinds->second) {
    scripts.push_back(ScriptOf(kind));
  }
  std::vector<std::unique_ptr<CrowdClient>> clients;
  for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_clients); ++i) {
    for (const CrowdScript& script : scripts) {
      clients.push_back(std::make_unique<CrowdClient>(
        script, static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))));
    }
  }
  std::size_t moved = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const std::unique_ptr<CrowdClient>& client : clients) {
      moved += client->Advance();
    }
    std::this_thread::sleep_for(kRound);
  }
  std::size_t open = 0;
  for (const std::unique_ptr<CrowdClient>& client : clients) {
    open += client->IsOpen() ? 1 : 0;
  }
  std::printf("clients %zu moved %zu open %zu\n", clients.size(), moved, open);
  return EXIT_SUCCESS;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Clients that connect to a node, send and read as their kind says, stay "
    "for some seconds and close.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::standins::Run();
}
