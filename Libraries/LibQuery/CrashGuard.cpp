#include <LibQuery/CrashGuard.h>

#include <LibCore/Verify.h>

#include <algorithm>

namespace verbenachute {

namespace {

/// Attempts that may be open under caution, however many were answered.
constexpr std::uint32_t kMaximumAllowance = 8;

} // namespace

CrashGuard::CrashGuard(SendingState aState)
  : mState(aState)
{
}

bool
CrashGuard::MaySend() const
{
  if (mState == SendingState::Cautious) {
    return mWatchedOpen < mAllowance;
  }
  return mState == SendingState::Free;
}

Watch
CrashGuard::OnSent()
{
  VERIFY(MaySend());
  if (mState == SendingState::Free) {
    return Watch::Unwatched;
  }
  mWatchedOpen += 1;
  return Watch::Watched;
}

void
CrashGuard::OnAnswered(Watch aWatch)
{
  Release(aWatch);
  if (aWatch == Watch::Unwatched) {
    return;
  }
  mAllowance = std::min(mAllowance + 1, kMaximumAllowance);
  const bool isCleared = mAllowance == kMaximumAllowance && mCrashed.empty();
  if (isCleared && mState == SendingState::Cautious) {
    mState = SendingState::Free;
  }
}

void
CrashGuard::OnCrashed(const TargetName& aTarget, Watch aWatch)
{
  Release(aWatch);
  mCrashed.insert(aTarget);
  if (aWatch == Watch::Watched) {
    mState = SendingState::Ended;
  } else if (mState == SendingState::Free) {
    mState = SendingState::Cautious;
  }
}

void
CrashGuard::OnEnded(Watch aWatch)
{
  Release(aWatch);
}

void
CrashGuard::OnPoisoned()
{
  mState = SendingState::Ended;
}

void
CrashGuard::Release(Watch aWatch)
{
  if (aWatch == Watch::Watched) {
    VERIFY(mWatchedOpen > 0);
    mWatchedOpen -= 1;
  }
}

} // namespace verbenachute
