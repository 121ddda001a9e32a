#include "Promises.h"

#include <LibCore/SocketAddressText.h>

#include <cstdio>
#include <cstdlib>
#include <cstring>

// Plays the surroundings of the nodes in one case.
//   review-world CASE RECORD TROUBLE CONTROL SEARCHERS NODES READY
// TROUBLE: 1 or 0; CONTROL: control address of review-store; SEARCHERS: address
// of the first searcher, further ones take the next ports; NODES and READY:
// callers' and readiness addresses of the nodes, separated by commas.
// Exit status: 0 the rule held, 1 it was broken, 2 the case could not run.

namespace verbenachute::review {

namespace {

constexpr int kExitNotRun = 2;
constexpr Duration kLongest = seconds(110);

enum Argument
{
  Program,
  Case,
  RecordPath,
  Trouble,
  ControlAddress,
  SearcherAddress,
  NodeAddresses,
  ReadyAddresses,
  ArgumentCount,
};

SocketAddress
AddressOf(const std::string& aText)
{
  const Result<SocketAddress> address = ParseSocketAddress(aText);
  if (IsError(address)) {
    std::printf("'%s' is no address\n", aText.c_str());
    std::exit(kExitNotRun);
  }
  return ValueOf(address);
}

std::vector<SocketAddress>
AddressesOf(const std::string& aText)
{
  std::vector<SocketAddress> addresses;
  std::size_t begin = 0;
  while (begin < aText.size()) {
    const std::size_t end = std::min(aText.find(',', begin), aText.size());
    addresses.push_back(AddressOf(aText.substr(begin, end - begin)));
    begin = end + 1;
  }
  return addresses;
}

int
Run(char** aArguments)
{
  const auto found = Cases().find(aArguments[Case]);
  Result<std::unique_ptr<EventLoop>> loop = EventLoop::Create();
  if (found == Cases().end() || IsError(loop)) {
    return kExitNotRun;
  }
  std::setvbuf(stdout, nullptr, _IOLBF, 0);
  Soak::Settings settings;
  settings.mRecord = aArguments[RecordPath];
  settings.mTrouble = std::strcmp(aArguments[Trouble], "0") != 0;
  settings.mControl = AddressOf(aArguments[ControlAddress]);
  settings.mFirstSearcher = AddressOf(aArguments[SearcherAddress]);
  settings.mNodes = AddressesOf(aArguments[NodeAddresses]);
  settings.mReady = AddressesOf(aArguments[ReadyAddresses]);
  Soak soak(*ValueOf(loop), settings);
  ValueOf(loop)->SignalArrived().connect(
    [&soak](int) { soak.Fail("stopped from outside"); });
  soak.After(kLongest, [&soak]() { soak.Fail("it took too long"); });
  found->second(soak);
  ValueOf(loop)->Run();
  return soak.ExitStatus();
}

} // namespace

} // namespace verbenachute::review

int
main(int aArgumentCount, char** aArguments)
{
  if (aArgumentCount != verbenachute::review::ArgumentCount) {
    return verbenachute::review::kExitNotRun;
  }
  return verbenachute::review::Run(aArguments);
}
