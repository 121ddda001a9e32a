#include <LibForward/RestartDoubt.h>

#include <algorithm>

namespace verbenachute {

namespace {

// A process can not end and start again between two answers in less time.
constexpr Duration kMinimumRestartTime = milliseconds(200);
// Time in which a process that has begun to listen has written its entry.
constexpr Duration kRegistrationTime = milliseconds(300);

} // namespace

void
RestartDoubt::OnLoss(ContactLoss aLoss, Instant aNow)
{
  // A doubt that already exists is not weakened by a loss that proves less.
  const bool keepsWorst = mState != State::None;
  mLoss = keepsWorst ? std::max(mLoss, aLoss) : aLoss;
  if (mState == State::Regained) {
    mLoss = ContactLoss::NotReached;
  }
  mState = State::Lost;
  mSince = aNow;
  mIsListKnown = false;
}

void
RestartDoubt::OnAnswered(Instant aSent, Instant aNow)
{
  if (mState != State::Lost) {
    mLastAnswer = aNow;
    return;
  }
  if (aSent <= mSince) {
    // The process that got the request before contact was lost has answered it.
    // If nothing listened meanwhile, the answer had been under way.
    if (mLoss != ContactLoss::NotReached) {
      mState = State::None;
      mLastAnswer = aNow;
    }
    return;
  }
  const bool isSameProcess = mLoss == ContactLoss::ConnectionLost &&
                             aNow - mLastAnswer < kMinimumRestartTime;
  mState = isSameProcess ? State::None : State::Regained;
  mIsListKnown = false;
  mSince = aNow;
  mLastAnswer = aNow;
}

void
RestartDoubt::OnListKnown(Instant aAsOf)
{
  if (aAsOf < mSince + kRegistrationTime) {
    return;
  }
  if (mState == State::Regained) {
    mState = State::None;
  }
  mIsListKnown = mState == State::Lost;
}

bool
RestartDoubt::MayBeCold(Duration aWarmup, Instant aNow) const
{
  switch (mState) {
    case State::None:
      return false;
    case State::Lost:
      return !mIsListKnown && (mLoss != ContactLoss::ConnectionLost ||
                               aNow - mLastAnswer >= kMinimumRestartTime);
    case State::Regained:
      return aNow - mSince < aWarmup;
  }
  return false;
}

std::optional<Instant>
RestartDoubt::ListNeededAsOf() const
{
  if (mState == State::None || mIsListKnown) {
    return std::nullopt;
  }
  return mSince + kRegistrationTime;
}

} // namespace verbenachute
