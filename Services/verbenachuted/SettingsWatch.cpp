#include "SettingsWatch.h"

#include <sys/stat.h>
#include <utility>

namespace verbenachute {

namespace {

constexpr Duration kPause = seconds(1);

} // namespace

SettingsWatch::SettingsWatch(EventLoop& aLoop,
                             std::string aPath,
                             std::function<void()> aChanged)
  : mPath(std::move(aPath))
  , mChanged(std::move(aChanged))
  , mTimer(aLoop, [this]() { OnTick(); })
{
  if (mPath.empty()) {
    return;
  }
  mSeen = Look();
  aLoop.ReloadRequested().connect([this]() { OnReload(); });
  mTimer.Start(kPause);
}

SettingsWatch::Stamp
SettingsWatch::Look() const
{
  struct stat status
  {};
  if (stat(mPath.c_str(), &status) != 0) {
    return Stamp();
  }
  return Stamp{ status.st_mtim, status.st_size, status.st_ino };
}

void
SettingsWatch::OnTick()
{
  const Stamp now = Look();
  const bool changed = now.mModified.tv_sec != mSeen.mModified.tv_sec ||
                       now.mModified.tv_nsec != mSeen.mModified.tv_nsec ||
                       now.mSize != mSeen.mSize || now.mInode != mSeen.mInode;
  mSeen = now;
  if (changed && now.mSize >= 0) {
    mChanged();
  }
  mTimer.Start(kPause);
}

void
SettingsWatch::OnReload()
{
  mSeen = Look();
  mChanged();
}

} // namespace verbenachute
