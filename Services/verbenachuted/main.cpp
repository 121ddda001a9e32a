#include "Daemon.h"
#include "EntryNode.h"
#include "Flags.h"

#include <LibCore/Allocator.h>
#include <LibSettings/Settings.h>

#include <cstdio>
#include <unistd.h>

namespace {

constexpr int kExitBadSettings = 2;
constexpr int kExitNotStarted = 3;

int
Fail(const verbenachute::Error& aError, int aStatus)
{
  std::fprintf(stderr,
               "verbenachuted: %s%s%s\n",
               aError.mPeer.c_str(),
               aError.mPeer.empty() ? "" : ": ",
               aError.mMessage.c_str());
  return aStatus;
}

} // namespace

int
main(int aCount, char** aWords)
{
  using namespace verbenachute;
  ConfigureAllocator();
  const Result<CommandLine> commandLine =
    ReadCommandLine(aCount, aWords, environ);
  if (IsError(commandLine)) {
    return Fail(ErrorOf(commandLine), kExitBadSettings);
  }
  const Result<Settings> settings = LoadSettings(ValueOf(commandLine));
  if (IsError(settings)) {
    return Fail(ErrorOf(settings), kExitBadSettings);
  }
  if (ValueOf(commandLine).mMode == StartMode::CheckOnly) {
    std::printf("the settings are valid\n");
    return 0;
  }
  if (ValueOf(settings).DispatchMode() == "direct") {
    Result<std::unique_ptr<EntryNode>> node =
      EntryNode::Create(ValueOf(commandLine), ValueOf(settings));
    if (IsError(node)) {
      return Fail(ErrorOf(node), kExitNotStarted);
    }
    return ValueOf(node)->Run();
  }
  Result<std::unique_ptr<Daemon>> daemon = Daemon::Create(ValueOf(settings));
  if (IsError(daemon)) {
    return Fail(ErrorOf(daemon), kExitNotStarted);
  }
  return ValueOf(daemon)->Run();
}
