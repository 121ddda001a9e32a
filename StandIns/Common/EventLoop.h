#pragma once

#include <LibCore/Strong.h>
#include <LibCore/SystemClock.h>
#include <LibCore/Time.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

struct event;
struct event_base;

namespace verbenachute::standins {

/// Identity of a timer; never used twice in a process.
using TimerId = Strong<struct TimerIdTag, std::uint64_t>;

/// One libevent loop with one-shot timers, which ends on SIGINT or SIGTERM.
class EventLoop
{
public:
  using Task = std::function<void()>;

  EventLoop();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  [[nodiscard]] event_base* Base() { return mBase; }
  [[nodiscard]] Instant Now() const { return mClock.Now(); }
  [[nodiscard]] UnixMilliseconds WallTime() const { return mClock.WallTime(); }

  /// Runs the task once after the delay; a delay of 0 runs it in the next turn
  /// of the loop.
  TimerId After(Duration aDelay, Task aTask);
  /// Forgets a timer; one that has fired or is unknown is no error.
  void Cancel(TimerId aTimer);

  void Run();
  void Stop();

private:
  struct Timer
  {
    EventLoop* mLoop = nullptr;
    TimerId mId;
    Task mTask;
    event* mEvent = nullptr;
  };

  static void TimerFired(int aDescriptor, short aEvents, void* aTimer);
  static void SignalReceived(int aSignal, short aEvents, void* aLoop);

  SystemClock mClock;
  event_base* mBase = nullptr;
  event* mInterrupt = nullptr;
  event* mTerminate = nullptr;
  std::uint64_t mLastTimer = 0;
  std::unordered_map<TimerId, std::unique_ptr<Timer>> mTimers;
};

} // namespace verbenachute::standins
