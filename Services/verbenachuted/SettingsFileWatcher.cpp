#include "SettingsFileWatcher.h"

#include <sys/stat.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kPollInterval = seconds(1);

} // namespace

SettingsFileWatcher::SettingsFileWatcher(EventLoop& aLoop,
                                         std::string aPath,
                                         std::function<void()> aOnChanged)
  : mPath(std::move(aPath))
  , mOnChanged(std::move(aOnChanged))
  , mTimer(aLoop, [this]() { OnTick(); })
{
  if (mPath.empty()) {
    return;
  }
  mLastStamp = ReadStamp();
  aLoop.ReloadRequested().connect([this]() { OnReload(); });
  mTimer.Start(kPollInterval);
}

SettingsFileWatcher::Stamp
SettingsFileWatcher::ReadStamp() const
{
  struct stat status
  {};
  if (stat(mPath.c_str(), &status) != 0) {
    return Stamp();
  }
  return Stamp{ status.st_mtim, status.st_size, status.st_ino };
}

void
SettingsFileWatcher::OnTick()
{
  const Stamp current = ReadStamp();
  const bool hasChanged =
    current.mModified.tv_sec != mLastStamp.mModified.tv_sec ||
    current.mModified.tv_nsec != mLastStamp.mModified.tv_nsec ||
    current.mSize != mLastStamp.mSize || current.mInode != mLastStamp.mInode;
  mLastStamp = current;
  if (hasChanged && current.mSize >= 0) {
    mOnChanged();
  }
  mTimer.Start(kPollInterval);
}

void
SettingsFileWatcher::OnReload()
{
  mLastStamp = ReadStamp();
  mOnChanged();
}

} // namespace verbenachute
