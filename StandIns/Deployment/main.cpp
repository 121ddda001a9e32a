#include "Soak.h"

#include <LibCore/SocketAddressText.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::uint64_t, seed, 1, "Seed of the faults and of the load.");
ABSL_FLAG(double, seconds, 30, "Length of the run.");
ABSL_FLAG(double, rate, 120, "Requests a second.");
ABSL_FLAG(double, crash_share, 0, "Share of requests that crash targets.");
ABSL_FLAG(std::string, region, "sul-rs", "Region of all nodes and targets.");
ABSL_FLAG(std::vector<std::string>, domains, {}, "Failure domains.");
ABSL_FLAG(std::uint32_t,
          first_port,
          0,
          "Port of the store on 127.0.0.1; ports of nodes are five each from "
          "the next ten on: callers, peers, operators, directory, gather; "
          "targets follow after a hundred.");
ABSL_FLAG(bool, timing, true, "Check bounds in real time.");
ABSL_FLAG(bool, calm, false, "No faults and no callers; runs until SIGTERM.");
ABSL_FLAG(std::uint64_t,
          single_bytes,
          0,
          "Bytes of a response of the single service; 0: a few records.");
ABSL_FLAG(std::uint32_t, nodes, 3, "Nodes, named node-1 and so on.");

namespace verbenachute::standins {

namespace {

constexpr const char* kLoopback = "127.0.0.1";
constexpr std::uint32_t kNodePorts = 10;
constexpr std::uint32_t kPortsOfNode = 5;
constexpr std::uint32_t kTargetPorts = 100;

SocketAddress
PortAt(std::uint32_t aOffset)
{
  return SocketAddress{ kLoopback,
                        static_cast<std::uint16_t>(
                          absl::GetFlag(FLAGS_first_port) + aOffset) };
}

Soak::Settings
ReadFlags()
{
  Soak::Settings settings;
  settings.mSeed = absl::GetFlag(FLAGS_seed);
  settings.mLength = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
  settings.mRate = absl::GetFlag(FLAGS_rate);
  settings.mCrashShare = absl::GetFlag(FLAGS_crash_share);
  settings.mTiming =
    absl::GetFlag(FLAGS_timing) ? TimingChecks::On : TimingChecks::Off;
  settings.mActivity =
    absl::GetFlag(FLAGS_calm) ? Soak::Activity::None : Soak::Activity::Full;
  settings.mSingleBytes = absl::GetFlag(FLAGS_single_bytes);
  settings.mRegion = absl::GetFlag(FLAGS_region);
  settings.mDomains = absl::GetFlag(FLAGS_domains);
  settings.mStore = PortAt(0);
  settings.mFirstTarget = PortAt(kTargetPorts);
  for (std::uint32_t i = 0; i < absl::GetFlag(FLAGS_nodes); ++i) {
    const std::uint32_t first = kNodePorts + kPortsOfNode * i;
    settings.mNodes.push_back(
      NodeFacts{ NodeName("node-" + std::to_string(i + 1)),
                 PortAt(first),
                 PortAt(first + 3) });
    settings.mOperators.push_back(PortAt(first + 2));
  }
  return settings;
}

int
Run()
{
  const Soak::Settings settings = ReadFlags();
  if (settings.mDomains.empty() || settings.mNodes.empty() ||
      absl::GetFlag(FLAGS_first_port) == 0) {
    std::fprintf(stderr, "--domains, --nodes and --first_port, please\n");
    return EXIT_FAILURE;
  }
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (IsError(loop)) {
    std::fprintf(stderr, "%s\n", ErrorOf(loop).mMessage.c_str());
    return EXIT_FAILURE;
  }
  Result<std::unique_ptr<Soak>> soak = Soak::Create(*ValueOf(loop), settings);
  if (IsError(soak)) {
    std::fprintf(stderr, "%s\n", ErrorOf(soak).mMessage.c_str());
    return EXIT_FAILURE;
  }
  ValueOf(loop)->SignalArrived().connect(
    [&loop](int) { ValueOf(loop)->Stop(); });
  ValueOf(soak)->Start();
  ValueOf(loop)->Run();
  return ValueOf(soak)->Outcome().Violations().empty() ? EXIT_SUCCESS
                                                       : EXIT_FAILURE;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Stand-in of a whole deployment around nodes: store, targets, callers and "
    "operators, with the faults of a seed. Prints what a script is to do with "
    "the nodes, and last how the promises were kept.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::standins::Run();
}
