#pragma once

#include <LibCore/Error.h>
#include <LibCore/SystemClock.h>
#include <LibCore/Time.h>

#include <LibTransport/ReadDelayEstimator.h>

#include <functional>
#include <memory>
#include <sigc++/sigc++.h>
#include <vector>

struct event;
struct event_base;

namespace verbenachute {

/// The only event loop of a process. All callbacks run on the thread that calls
/// Run.
class EventLoop
{
public:
  /// Fails with step Settings and code Internal if libevent can not create a
  /// loop.
  [[nodiscard]] static Result<std::unique_ptr<EventLoop>> Create();
  ~EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;

  /// Runs until Stop is called.
  void Run();
  void Stop();

  /// Runs the task after the current callback and before the loop waits for the
  /// next event. Used to destroy an object only after its callback has
  /// returned.
  void Defer(std::function<void()> aTask);

  /// Emitted with the number of each SIGTERM and SIGINT.
  [[nodiscard]] sigc::signal<void(int)>& SignalArrived();
  /// Emitted at each SIGHUP, after which the settings are to be read again.
  [[nodiscard]] sigc::signal<void()>& ReloadRequested();

  [[nodiscard]] Instant Now() const;
  /// Upper bound of the time that bytes which are read now have waited in their
  /// socket.
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
  /// Mutable, since each call of Now reports activity to it.
  mutable ReadDelayEstimator mReadDelayEstimator;
};

} // namespace verbenachute
