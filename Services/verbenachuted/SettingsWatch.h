#pragma once

#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <ctime>
#include <functional>
#include <string>

namespace verbenachute {

/// Notices that the settings file has changed: at SIGHUP, and by its time and
/// size, since it may change without a signal.
class SettingsWatch
{
public:
  /// An empty path is never read.
  SettingsWatch(EventLoop& aLoop,
                std::string aPath,
                std::function<void()> aChanged);

private:
  struct Stamp
  {
    timespec mModified{};
    long long mSize = -1;
    unsigned long long mInode = 0;
  };

  [[nodiscard]] Stamp Look() const;
  void OnTick();
  void OnReload();

  std::string mPath;
  std::function<void()> mChanged;
  Stamp mSeen;
  Timer mTimer;
};

} // namespace verbenachute
