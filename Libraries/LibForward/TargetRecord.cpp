#include <LibForward/TargetRecord.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenachute {

namespace {

// Weight of one sample in the moving averages.
constexpr double kSampleWeight = 0.25;
constexpr double kLeastSlowness = 0.4;
constexpr double kGreatestSlowness = 40;
// Without samples what was learnt loses half of its weight in this time, so
// that a target that was slow or failing is tried again.
constexpr Duration kHalfLife = milliseconds(2500);
// A load report says little about the present after this time.
constexpr Duration kLoadValidity = milliseconds(60);
// Wait before the next trial of a target that does not answer.
constexpr Duration kFirstBackOff = milliseconds(250);
constexpr Duration kLongestBackOff = milliseconds(1500);
// Failures in a row after which a target is suspected.
constexpr std::uint32_t kFailuresToSuspect = 3;
// An attempt counts as stalled when it has taken this much longer than usual.
constexpr double kStallFactor = 1.2;
// Extra wait to be expected of a stalled target: half of a pause of 120 ms,
// the pauses that the targets' owners state.
constexpr Duration kStallPenalty = milliseconds(60);
// How much a failing target is avoided: one that always fails counts as this
// many times slower.
constexpr double kFailurePenalty = 12;

} // namespace

TargetRecord::TargetRecord(ListedTarget aListed, Instant aNow)
  : mListed(std::move(aListed))
{
  Forget(aNow);
}

void
TargetRecord::Forget(Instant aNow)
{
  mSlowness = 1;
  mFailure = 0;
  mFailuresInRow = 0;
  mLearnt = aNow;
  mLoad = ReportedLoad{ 0, 0, std::max(mListed.mSlots, 1U) };
  mLoadReported = aNow;
  mDownUntil = aNow;
  mSuspectUntil = aNow;
  mColdUntil = aNow + mListed.mColdFor;
  mColdTokens = 1;
  mColdRefilled = aNow;
}

void
TargetRecord::Relist(ListedTarget aListed, Instant aNow)
{
  const bool sameLife = aListed.mBorn == mListed.mBorn &&
                        aListed.mAddress == mListed.mAddress &&
                        aListed.mService == mListed.mService;
  mListed = std::move(aListed);
  if (!sameLife) {
    Forget(aNow);
    return;
  }
  mColdUntil = aNow + mListed.mColdFor;
}

void
TargetRecord::OnSent(AttemptId aAttempt, Duration aUsual, Instant aNow)
{
  mInFlight.emplace(aAttempt, InFlightAttempt{ aNow, aUsual });
}

double
TargetRecord::Faded(double aValue, double aRest, Instant aNow) const
{
  const double age = static_cast<double>((aNow - mLearnt).count()) /
                     static_cast<double>(kHalfLife.count());
  return aRest + (aValue - aRest) * std::exp2(-std::max(age, 0.0));
}

void
TargetRecord::OnReply(AttemptId aAttempt,
                      const PartReply& aReply,
                      Duration aTypical,
                      Instant aNow)
{
  const auto sent = mInFlight.find(aAttempt);
  if (sent == mInFlight.end()) {
    return;
  }
  const Duration latency = aNow - sent->second.mSent;
  mInFlight.erase(sent);
  if (aReply.mLoad.has_value()) {
    mLoad = *aReply.mLoad;
    mLoadReported = aNow;
  }
  if (aReply.mMeaning == ReplyMeaning::WrongTarget) {
    mDownUntil = aNow + kLongestBackOff;
    return;
  }
  mDownUntil = aNow;
  mSuspectUntil = aNow;
  mFailuresInRow = 0;
  if (aReply.mMeaning != ReplyMeaning::Answered) {
    NoteFailure(kSampleWeight, aNow);
    return;
  }
  const double ratio = std::clamp(
    static_cast<double>(latency.count()) /
      static_cast<double>(std::max<Duration::rep>(aTypical.count(), 1)),
    kLeastSlowness,
    kGreatestSlowness);
  const double slowness = Faded(mSlowness, 1, aNow);
  const double failure = Faded(mFailure, 0, aNow);
  mSlowness = slowness + kSampleWeight * (ratio - slowness);
  mFailure = failure * (1 - kSampleWeight);
  mLearnt = aNow;
}

void
TargetRecord::NoteFailure(double aWeight, Instant aNow)
{
  const double slowness = Faded(mSlowness, 1, aNow);
  const double failure = Faded(mFailure, 0, aNow);
  mSlowness = slowness;
  mFailure = failure + aWeight * (1 - failure);
  mLearnt = aNow;
}

Duration
TargetRecord::BackOff() const
{
  Duration wait = kFirstBackOff;
  for (std::uint32_t i = kFailuresToSuspect; i < mFailuresInRow; ++i) {
    wait = std::min(wait * 2, kLongestBackOff);
  }
  return wait;
}

void
TargetRecord::OnFailure(AttemptId aAttempt,
                        AttemptFailure aFailure,
                        Instant aNow)
{
  mInFlight.erase(aAttempt);
  ++mFailuresInRow;
  NoteFailure(kSampleWeight, aNow);
  if (aFailure == AttemptFailure::NotSent) {
    mDownUntil = aNow + BackOff();
  }
  if (mFailuresInRow >= kFailuresToSuspect) {
    mSuspectUntil = aNow + BackOff();
  }
}

void
TargetRecord::OnAbandoned(AttemptId aAttempt, Duration aTypical, Instant aNow)
{
  const auto sent = mInFlight.find(aAttempt);
  if (sent == mInFlight.end()) {
    return;
  }
  const Duration waited = aNow - sent->second.mSent;
  const bool late = waited > sent->second.mUsual;
  mInFlight.erase(sent);
  if (!late) {
    return;
  }
  ++mFailuresInRow;
  const double ratio = std::clamp(
    static_cast<double>(waited.count()) /
      static_cast<double>(std::max<Duration::rep>(aTypical.count(), 1)),
    kLeastSlowness,
    kGreatestSlowness);
  const double slowness = Faded(mSlowness, 1, aNow);
  mFailure = Faded(mFailure, 0, aNow);
  mSlowness = slowness + kSampleWeight * (std::max(ratio, slowness) - slowness);
  mLearnt = aNow;
  if (mFailuresInRow >= kFailuresToSuspect) {
    mSuspectUntil = aNow + BackOff();
  }
}

bool
TargetRecord::IsDown(Instant aNow) const
{
  return aNow < mDownUntil;
}

bool
TargetRecord::IsSuspect(Instant aNow) const
{
  return aNow < mSuspectUntil;
}

void
TargetRecord::BeginTrial(Instant aNow)
{
  if (mFailuresInRow >= kFailuresToSuspect) {
    mSuspectUntil = aNow + BackOff();
  }
}

bool
TargetRecord::IsStalled(Instant aNow) const
{
  for (const auto& entry : mInFlight) {
    const double age = static_cast<double>((aNow - entry.second.mSent).count());
    if (age > kStallFactor * static_cast<double>(entry.second.mUsual.count())) {
      return true;
    }
  }
  return false;
}

double
TargetRecord::FailureShare(Instant aNow) const
{
  return Faded(mFailure, 0, aNow);
}

Duration
TargetRecord::ExpectedLatency(Duration aTypical, Instant aNow) const
{
  const double slots = std::max(mListed.mSlots, 1U);
  double ahead = static_cast<double>(InFlight());
  const Duration age = aNow - mLoadReported;
  if (age < kLoadValidity) {
    const double weight = 1 - static_cast<double>(age.count()) /
                                static_cast<double>(kLoadValidity.count());
    const double reported =
      static_cast<double>(mLoad.mRunning) + mLoad.mWaiting;
    ahead = std::max(ahead, weight * reported);
  }
  const double queue =
    1 + 0.5 * ahead / slots + std::max(0.0, ahead + 1 - slots) / slots;
  const double failing = 1 + kFailurePenalty * FailureShare(aNow);
  const double expected = static_cast<double>(aTypical.count()) *
                          Faded(mSlowness, 1, aNow) * queue * failing;
  Duration latency(static_cast<Duration::rep>(expected));
  if (IsStalled(aNow)) {
    latency += kStallPenalty;
  }
  return latency;
}

bool
TargetRecord::TakeColdSend(double aPerSecond, Instant aNow)
{
  const double elapsed =
    std::chrono::duration<double>(aNow - mColdRefilled).count();
  mColdRefilled = aNow;
  mColdTokens = std::min(1.0, mColdTokens + elapsed * aPerSecond);
  if (mColdTokens < 1) {
    return false;
  }
  mColdTokens -= 1;
  return true;
}

} // namespace verbenachute
