#include "PlatformService.h"

#include <LibCore/SocketAddressText.h>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, address, "", "Port of the platform, as IP:PORT.");

namespace verbenachute::standins {

namespace {

int
Run()
{
  const Result<SocketAddress> address =
    ParseSocketAddress(absl::GetFlag(FLAGS_address));
  if (IsError(address)) {
    std::fprintf(stderr, "--address: %s\n", ErrorOf(address).mMessage.c_str());
    return EXIT_FAILURE;
  }
  EventLoop loop;
  const PlatformService service(loop, ValueOf(address));
  loop.Run();
  return EXIT_SUCCESS;
}

} // namespace

} // namespace verbenachute::standins

int
main(int aArgumentCount, char** aArguments)
{
  absl::SetProgramUsageMessage(
    "Stand-in of the platform's key-value service and VM list.");
  absl::ParseCommandLine(aArgumentCount, aArguments);
  return verbenachute::standins::Run();
}
