#pragma once

#include <LibCore/Time.h>
#include <LibTransport/EventLoop.h>

#include <functional>

namespace verbenachute {

/// Calls a function once after a delay, unless the timer is stopped or
/// destroyed first. Starting it again replaces the delay; a negative delay
/// counts as 0.
class Timer
{
public:
  Timer(EventLoop& aLoop, std::function<void()> aExpired);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Start(Duration aDelay);
  void Stop();
  [[nodiscard]] bool IsRunning() const;

private:
  event* mEvent;
  std::function<void()> mExpired;
};

} // namespace verbenachute
