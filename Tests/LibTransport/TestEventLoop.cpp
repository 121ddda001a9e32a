#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <csignal>
#include <doctest/doctest.h>
#include <vector>

namespace verbenachute {

namespace {

struct ReceivedSignals
{
  std::vector<int> mTerminations;
  int mReloads = 0;
};

ReceivedSignals
SignalsReceivedAfter(int aSignal)
{
  const std::unique_ptr<EventLoop> loop = ReleaseValue(EventLoop::Create());
  ReceivedSignals received;
  loop->SignalArrived().connect([&](int aNumber) {
    received.mTerminations.push_back(aNumber);
    loop->Stop();
  });
  loop->ReloadRequested().connect([&]() {
    ++received.mReloads;
    loop->Stop();
  });
  loop->Defer([aSignal]() { static_cast<void>(std::raise(aSignal)); });
  loop->Run();
  return received;
}

} // namespace

TEST_CASE("SIGHUP requests a reload of the settings and never a stop")
{
  // Guards against nodes that ended when their settings had changed, since
  // SIGHUP was handled as a request to stop.
  const ReceivedSignals received = SignalsReceivedAfter(SIGHUP);
  CHECK(received.mReloads == 1);
  CHECK(received.mTerminations.empty());
}

TEST_CASE("SIGTERM and SIGINT request a stop")
{
  for (const int number : { SIGTERM, SIGINT }) {
    const ReceivedSignals received = SignalsReceivedAfter(number);
    CHECK(received.mTerminations == std::vector{ number });
    CHECK(received.mReloads == 0);
  }
}

} // namespace verbenachute
