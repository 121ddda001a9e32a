#include "Forwarder.h"

#include <LibCore/SocketAddressText.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, listen_address, "", "Port to take, as IP:PORT.");
ABSL_FLAG(std::string, server_address, "", "Port behind it, as IP:PORT.");
ABSL_FLAG(std::string, control_address, "", "Control port, as IP:PORT.");

namespace verbenachute::standins {

namespace {

int
Run()
{
  const Result<SocketAddress> listen =
    ParseSocketAddress(absl::GetFlag(FLAGS_listen_address));
  const Result<SocketAddress> server =
    ParseSocketAddress(absl::GetFlag(FLAGS_server_address));
  const Result<SocketAddress> control =
    ParseSocketAddress(absl::GetFlag(FLAGS_control_address));
  if (IsError(listen) || IsError(server) || IsError(control)) {
    std::fprintf(stderr, "all three addresses are needed, as IP:PORT\n");
    return EXIT_FAILURE;
  }
  EventLoop loop;
  const Forwarder forwarder(
    loop, ValueOf(listen), ValueOf(server), ValueOf(control));
  loop.Run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Forwards TCP connections on loopback, and cuts them by command.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::standins::Run();
}
