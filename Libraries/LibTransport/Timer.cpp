#include <LibTransport/Timer.h>

#include <algorithm>
#include <event2/event.h>
#include <utility>

namespace verbenachute {

Timer::Timer(EventLoop& aLoop, std::function<void()> aExpired)
  : mEvent(event_new(
      aLoop.Base(),
      -1,
      0,
      [](evutil_socket_t, short, void* aTimer) {
        static_cast<Timer*>(aTimer)->mExpired();
      },
      this))
  , mExpired(std::move(aExpired))
{
}

Timer::~Timer()
{
  event_free(mEvent);
}

void
Timer::Start(Duration aDelay)
{
  const Duration delay = std::max(aDelay, Duration(0));
  const seconds wholeSeconds = std::chrono::duration_cast<seconds>(delay);
  timeval interval{};
  interval.tv_sec = wholeSeconds.count();
  interval.tv_usec = (delay - wholeSeconds).count();
  event_add(mEvent, &interval);
}

void
Timer::Stop()
{
  event_del(mEvent);
}

bool
Timer::IsRunning() const
{
  return event_pending(mEvent, EV_TIMEOUT, nullptr) != 0;
}

} // namespace verbenachute
