#include <LibTransport/ReadDelayEstimator.h>

namespace verbenachute {

void
ReadDelayEstimator::OnIterationEnd(Instant aNow)
{
  if (mIterationStart.has_value()) {
    mPreviousIterationStart = mIterationStart;
  }
  mIterationStart.reset();
  mPreviousIterationEnd = aNow;
}

void
ReadDelayEstimator::OnActivity(Instant aNow)
{
  if (!mIterationStart.has_value()) {
    mIterationStart = aNow;
  }
}

Duration
ReadDelayEstimator::MaximumReadDelay(Instant aNow) const
{
  const Instant iterationStart = mIterationStart.value_or(aNow);
  if (!mPreviousIterationStart.has_value()) {
    return aNow - iterationStart;
  }
  const Duration pollTime = iterationStart - mPreviousIterationEnd;
  if (pollTime > kMaximumPollTime) {
    return aNow - mPreviousIterationEnd;
  }
  return aNow - (pollTime > kNegligiblePollTime ? iterationStart
                                                : *mPreviousIterationStart);
}

} // namespace verbenachute
