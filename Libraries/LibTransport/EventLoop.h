#pragma once

#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibCore/Time.h>

#include <LibTransport/LoopGauge.h>

#include <functional>
#include <memory>
#include <sigc++/sigc++.h>
#include <vector>

struct event;
struct event_base;

namespace verbenachute {

/// The one loop of a process. Everything runs on the thread that runs it.
class EventLoop
{
public:
  [[nodiscard]] static Result<std::unique_ptr<EventLoop>> Create();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop is called.
  void Run();
  void Stop();

  /// Runs the task before the loop waits for the next event. Used to leave
  /// a library's callback before its object is freed.
  void Defer(std::function<void()> aTask);

  /// Emitted with the number of each SIGTERM and SIGINT.
  [[nodiscard]] sigc::signal<void(int)>& SignalArrived();
  /// Emitted at each SIGHUP: the settings may have changed.
  [[nodiscard]] sigc::signal<void()>& ReloadRequested();

  [[nodiscard]] Instant Now() const;
  /// Longest time that bytes which are read now may have waited unread.
  [[nodiscard]] Duration MaximumReadDelay() const;
  [[nodiscard]] const Clock& SystemTime() const;
  [[nodiscard]] event_base* Base() const;

private:
  EventLoop() = default;
  void RunDeferred();

  event_base* mBase = nullptr;
  event* mDeferredEvent = nullptr;
  std::vector<event*> mSignalEvents;
  std::vector<std::function<void()>> mDeferred;
  sigc::signal<void(int)> mSignalArrived;
  sigc::signal<void()> mReloadRequested;
  SystemClock mClock;
  bool mStopped = false;
  /// Whoever asks for the time is at work.
  mutable LoopGauge mGauge;
};

} // namespace verbenachute
