#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <csignal>
#include <doctest/doctest.h>
#include <vector>

namespace verbenachute {

namespace {

struct Seen
{
  std::vector<int> mStops;
  int mReloads = 0;
};

Seen
SeenAfter(int aSignal)
{
  const std::unique_ptr<EventLoop> loop = TakeValue(EventLoop::Create());
  Seen seen;
  loop->SignalArrived().connect([&](int aNumber) {
    seen.mStops.push_back(aNumber);
    loop->Stop();
  });
  loop->ReloadRequested().connect([&]() {
    ++seen.mReloads;
    loop->Stop();
  });
  loop->Defer([aSignal]() { static_cast<void>(std::raise(aSignal)); });
  loop->Run();
  return seen;
}

} // namespace

TEST_CASE("SIGHUP asks for the settings and never for a stop")
{
  // Found on the bench: nodes whose settings had changed ended.
  const Seen seen = SeenAfter(SIGHUP);
  CHECK(seen.mReloads == 1);
  CHECK(seen.mStops.empty());
}

TEST_CASE("SIGTERM and SIGINT ask for a stop")
{
  for (const int number : { SIGTERM, SIGINT }) {
    const Seen seen = SeenAfter(number);
    CHECK(seen.mStops == std::vector{ number });
    CHECK(seen.mReloads == 0);
  }
}

} // namespace verbenachute
