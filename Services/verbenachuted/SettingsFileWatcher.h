#pragma once

#include <LibTransport/EventLoop.h>
#include <LibTransport/Timer.h>

#include <ctime>
#include <functional>
#include <string>

namespace verbenachute {

/// Detects changes of the settings file: at SIGHUP, and by polling its
/// modification time, size and inode, since it may change without a signal.
class SettingsFileWatcher
{
public:
  /// With an empty path there is no file to watch, and the callback is never
  /// called.
  SettingsFileWatcher(EventLoop& aLoop,
                      std::string aPath,
                      std::function<void()> aOnChanged);

private:
  struct Stamp
  {
    timespec mModified{};
    long long mSize = -1;
    unsigned long long mInode = 0;
  };

  /// Returns the size -1 if the file cannot be accessed.
  [[nodiscard]] Stamp ReadStamp() const;
  void OnTick();
  void OnReload();

  std::string mPath;
  std::function<void()> mOnChanged;
  Stamp mLastStamp;
  Timer mTimer;
};

} // namespace verbenachute
