#include <LibForward/TargetRecord.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace verbenachute {

namespace {

// Weight of one sample in the moving averages.
constexpr double kSampleWeight = 0.25;
constexpr double kMinLatencyRatio = 0.4;
constexpr double kMaxLatencyRatio = 40;
// Without new samples the statistics lose half of their weight in this time, so
// that a target that was slow or failing is tried again.
constexpr Duration kStatisticsHalfLife = milliseconds(2500);
// A load report says little about the current load after this time.
constexpr Duration kLoadValidity = milliseconds(60);
// Time before the next probe of a target that does not answer; it doubles with
// each further failure.
constexpr Duration kInitialBackOff = milliseconds(250);
constexpr Duration kMaxBackOff = milliseconds(1500);
// Consecutive failures after which a target is suspected.
constexpr std::uint32_t kFailuresToSuspect = 3;
// An attempt counts as stalled after this multiple of its usual latency.
constexpr double kStallFactor = 1.2;
// Latency added for a stalled target: half of the pause of 120 ms that the
// targets' owners state.
constexpr Duration kStallPenalty = milliseconds(60);
// How long a peer's decision not to ask a target is taken into account. Such
// targets pause for 100 ms or are slow for seconds.
constexpr Duration kPeerDeclineValidity = milliseconds(250);
// A target that always fails counts as slower by this multiple of its latency.
constexpr double kFailurePenalty = 12;

} // namespace

TargetRecord::TargetRecord(ListedTarget aListed, Instant aNow)
  : mListed(std::move(aListed))
  , mGate(aNow)
{
  ResetHistory(aNow);
}

void
TargetRecord::ResetHistory(Instant aNow)
{
  mLatencyRatio = 1;
  mFailureRate = 0;
  mConsecutiveFailures = 0;
  mLastSample = aNow;
  mLoad = ReportedLoad{ 0, 0, std::max(mListed.mSlots, 1U), {} };
  mLoadReported = aNow;
  mDownUntil = aNow;
  mSuspectUntil = aNow;
  mDeclinedUntil = aNow;
  mColdUntil = aNow + mListed.mColdTimeLeft;
  mGate.OnRestarted(aNow);
  mDoubt = RestartDoubt();
  ++mIncarnationCount;
}

void
TargetRecord::Update(ListedTarget aListed, Instant aNow)
{
  const bool sameIncarnation = aListed.mStartTime == mListed.mStartTime &&
                               aListed.mAddress == mListed.mAddress &&
                               aListed.mService == mListed.mService;
  mListed = std::move(aListed);
  if (!sameIncarnation) {
    ResetHistory(aNow);
    return;
  }
  mColdUntil = aNow + mListed.mColdTimeLeft;
}

void
TargetRecord::OnSent(AttemptId aAttempt, Duration aTailLatency, Instant aNow)
{
  mInFlight.emplace(aAttempt,
                    InFlightAttempt{ aNow, aTailLatency, mIncarnationCount });
}

double
TargetRecord::Decayed(double aValue, double aNeutral, Instant aNow) const
{
  const double age = static_cast<double>((aNow - mLastSample).count()) /
                     static_cast<double>(kStatisticsHalfLife.count());
  return aNeutral + (aValue - aNeutral) * std::exp2(-std::max(age, 0.0));
}

void
TargetRecord::OnReply(AttemptId aAttempt,
                      const PartReply& aReply,
                      Duration aMedianLatency,
                      Instant aNow)
{
  const auto sent = mInFlight.find(aAttempt);
  if (sent == mInFlight.end()) {
    return;
  }
  const Instant sentAt = sent->second.mSent;
  const Duration latency = aNow - sentAt;
  const bool isSameIncarnation =
    sent->second.mIncarnationCount == mIncarnationCount;
  mInFlight.erase(sent);
  if (aReply.mLoad.has_value()) {
    mLoad = *aReply.mLoad;
    mLoadReported = aNow;
  }
  if (aReply.mKind == ReplyKind::WrongTarget) {
    mDownUntil = aNow + kMaxBackOff;
    return;
  }
  if (isSameIncarnation) {
    ApplyWishes(aReply, aNow);
    mDoubt.OnAnswered(sentAt, aNow);
  }
  mDownUntil = aNow;
  mSuspectUntil = aNow;
  mConsecutiveFailures = 0;
  if (aReply.mPause.has_value()) {
    // A target that asks for a pause is well.
    return;
  }
  if (aReply.mKind != ReplyKind::Answered) {
    RecordFailure(kSampleWeight, aNow);
    return;
  }
  const double sampleRatio = std::clamp(
    static_cast<double>(latency.count()) /
      static_cast<double>(std::max<Duration::rep>(aMedianLatency.count(), 1)),
    kMinLatencyRatio,
    kMaxLatencyRatio);
  const double latencyRatio = Decayed(mLatencyRatio, 1, aNow);
  const double failureRate = Decayed(mFailureRate, 0, aNow);
  mLatencyRatio = latencyRatio + kSampleWeight * (sampleRatio - latencyRatio);
  mFailureRate = failureRate * (1 - kSampleWeight);
  mLastSample = aNow;
}

void
TargetRecord::ApplyWishes(const PartReply& aReply, Instant aNow)
{
  if (!aReply.mIsNamedRateUnreadable) {
    mGate.OnNamedRate(aReply.mNamedRate);
  }
  if (aReply.mIsLeaving) {
    mGate.OnLeaving();
  }
  if (aReply.mPause.has_value()) {
    mGate.OnPaused(aNow + *aReply.mPause);
  }
}

void
TargetRecord::RecordFailure(double aWeight, Instant aNow)
{
  const double latencyRatio = Decayed(mLatencyRatio, 1, aNow);
  const double failureRate = Decayed(mFailureRate, 0, aNow);
  mLatencyRatio = latencyRatio;
  mFailureRate = failureRate + aWeight * (1 - failureRate);
  mLastSample = aNow;
}

Duration
TargetRecord::BackOff() const
{
  Duration backOff = kInitialBackOff;
  for (std::uint32_t i = kFailuresToSuspect; i < mConsecutiveFailures; ++i) {
    backOff = std::min(backOff * 2, kMaxBackOff);
  }
  return backOff;
}

void
TargetRecord::OnFailure(AttemptId aAttempt,
                        AttemptFailure aFailure,
                        Instant aNow)
{
  mInFlight.erase(aAttempt);
  ++mConsecutiveFailures;
  RecordFailure(kSampleWeight, aNow);
  if (aFailure == AttemptFailure::NotSent) {
    mDownUntil = aNow + BackOff();
    mDoubt.OnLoss(ContactLoss::NotReached, aNow);
  } else if (aFailure == AttemptFailure::ConnectionLost ||
             aFailure == AttemptFailure::ResponseTruncated) {
    mDoubt.OnLoss(ContactLoss::ConnectionLost, aNow);
  }
  SuspectIfUnresponsive(aNow);
}

void
TargetRecord::SuspectIfUnresponsive(Instant aNow)
{
  if (mConsecutiveFailures < kFailuresToSuspect) {
    return;
  }
  mSuspectUntil = aNow + BackOff();
  mDoubt.OnLoss(ContactLoss::Unresponsive, aNow);
}

void
TargetRecord::OnAbandoned(AttemptId aAttempt,
                          Duration aMedianLatency,
                          Instant aNow)
{
  const auto sent = mInFlight.find(aAttempt);
  if (sent == mInFlight.end()) {
    return;
  }
  const Duration waited = aNow - sent->second.mSent;
  const bool overdue = waited > sent->second.mTailLatency;
  mInFlight.erase(sent);
  if (!overdue) {
    return;
  }
  ++mConsecutiveFailures;
  const double sampleRatio = std::clamp(
    static_cast<double>(waited.count()) /
      static_cast<double>(std::max<Duration::rep>(aMedianLatency.count(), 1)),
    kMinLatencyRatio,
    kMaxLatencyRatio);
  const double latencyRatio = Decayed(mLatencyRatio, 1, aNow);
  mFailureRate = Decayed(mFailureRate, 0, aNow);
  mLatencyRatio =
    latencyRatio +
    kSampleWeight * (std::max(sampleRatio, latencyRatio) - latencyRatio);
  mLastSample = aNow;
  SuspectIfUnresponsive(aNow);
}

void
TargetRecord::OnDeclinedByPeer(Instant aNow)
{
  mDeclinedUntil = aNow + kPeerDeclineValidity;
}

std::size_t
TargetRecord::SentSinceReport() const
{
  return static_cast<std::size_t>(
    std::count_if(mInFlight.begin(), mInFlight.end(), [&](const auto& aEntry) {
      return aEntry.second.mSent > mLoadReported;
    }));
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
TargetRecord::BeginProbe(Instant aNow)
{
  if (mConsecutiveFailures >= kFailuresToSuspect) {
    mSuspectUntil = aNow + BackOff();
  }
}

bool
TargetRecord::IsStalled(Instant aNow) const
{
  for (const auto& entry : mInFlight) {
    const double age = static_cast<double>((aNow - entry.second.mSent).count());
    if (age >
        kStallFactor * static_cast<double>(entry.second.mTailLatency.count())) {
      return true;
    }
  }
  return false;
}

double
TargetRecord::FailureRate(Instant aNow) const
{
  return Decayed(mFailureRate, 0, aNow);
}

Duration
TargetRecord::ExpectedLatency(Duration aMedianLatency, Instant aNow) const
{
  const double slots = std::max(mListed.mSlots, 1U);
  double requestsAhead = static_cast<double>(InFlight());
  const Duration age = aNow - mLoadReported;
  if (age < kLoadValidity) {
    const double weight = 1 - static_cast<double>(age.count()) /
                                static_cast<double>(kLoadValidity.count());
    const double reported =
      static_cast<double>(mLoad.mRunning) + mLoad.mWaiting;
    requestsAhead = std::max(requestsAhead, weight * reported);
  }
  const double queueFactor = 1 + 0.5 * requestsAhead / slots +
                             std::max(0.0, requestsAhead + 1 - slots) / slots;
  const double failureFactor = 1 + kFailurePenalty * FailureRate(aNow);
  const double expected = static_cast<double>(aMedianLatency.count()) *
                          Decayed(mLatencyRatio, 1, aNow) * queueFactor *
                          failureFactor;
  Duration latency(static_cast<Duration::rep>(expected));
  if (IsStalled(aNow) || aNow < mDeclinedUntil) {
    latency += kStallPenalty;
  }
  return latency;
}

} // namespace verbenachute
