#include <Common/EventLoop.h>

#include <LibCore/Verify.h>

#include <event2/event.h>

#include <algorithm>
#include <csignal>
#include <utility>

namespace verbenachute::standins {

namespace {

event_base*
CreatePreciseBase()
{
  // Without this flag timers are rounded to whole milliseconds, which is as
  // long as some service times.
  event_config* config = event_config_new();
  VERIFY(config);
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  VERIFY(base);
  return base;
}

timeval
TimevalOf(Duration aDuration)
{
  const Duration wait = std::max(aDuration, Duration::zero());
  const seconds whole = std::chrono::duration_cast<seconds>(wait);
  return timeval{ static_cast<time_t>(whole.count()),
                  static_cast<suseconds_t>((wait - whole).count()) };
}

} // namespace

EventLoop::EventLoop()
  : mBase(CreatePreciseBase())
{
  std::signal(SIGPIPE, SIG_IGN);
  mInterrupt = evsignal_new(mBase, SIGINT, &SignalReceived, this);
  mTerminate = evsignal_new(mBase, SIGTERM, &SignalReceived, this);
  VERIFY(mInterrupt && mTerminate);
  event_add(mInterrupt, nullptr);
  event_add(mTerminate, nullptr);
}

EventLoop::~EventLoop()
{
  for (const auto& [id, timer] : mTimers) {
    event_free(timer->mEvent);
  }
  event_free(mInterrupt);
  event_free(mTerminate);
  event_base_free(mBase);
}

TimerId
EventLoop::After(Duration aDelay, Task aTask)
{
  const TimerId id(++mLastTimer);
  std::unique_ptr<Timer> timer = std::make_unique<Timer>();
  timer->mLoop = this;
  timer->mId = id;
  timer->mTask = std::move(aTask);
  timer->mEvent = evtimer_new(mBase, &TimerFired, timer.get());
  VERIFY(timer->mEvent);
  const timeval delay = TimevalOf(aDelay);
  evtimer_add(timer->mEvent, &delay);
  mTimers.emplace(id, std::move(timer));
  return id;
}

void
EventLoop::Cancel(TimerId aTimer)
{
  const auto found = mTimers.find(aTimer);
  if (found == mTimers.end()) {
    return;
  }
  event_free(found->second->mEvent);
  mTimers.erase(found);
}

void
EventLoop::Run()
{
  event_base_dispatch(mBase);
}

void
EventLoop::Stop()
{
  event_base_loopbreak(mBase);
}

void
EventLoop::TimerFired(int, short, void* aTimer)
{
  Timer* timer = static_cast<Timer*>(aTimer);
  // The task may cancel its own timer, so it is taken out first.
  EventLoop* loop = timer->mLoop;
  const Task task = std::move(timer->mTask);
  loop->Cancel(timer->mId);
  task();
}

void
EventLoop::SignalReceived(int, short, void* aLoop)
{
  static_cast<EventLoop*>(aLoop)->Stop();
}

} // namespace verbenachute::standins
