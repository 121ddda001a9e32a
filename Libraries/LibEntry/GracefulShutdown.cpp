#include <LibEntry/GracefulShutdown.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Some callers keep an address for three times as long as they are told to.
constexpr int kValidityFactor = 3;
constexpr Duration kLastRequestsTime = milliseconds(300);
// Upper limit of the time before the node closes its ports, in percent of the
// grace time.
constexpr int kMaxServingPercent = 65;
// The process exits this long before it would be killed.
constexpr Duration kExitReserve = milliseconds(350);

} // namespace

GracefulShutdown::GracefulShutdown(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
GracefulShutdown::OnStop(Instant aNow)
{
  if (mPhase == GracefulShutdownPhase::Serving) {
    mPhase = GracefulShutdownPhase::Unadvertised;
    mStopTime = aNow;
  }
}

Duration
GracefulShutdown::ServingTime() const
{
  return std::min(kValidityFactor * mSettings.mAddressValidity +
                    kLastRequestsTime,
                  mSettings.mGrace * kMaxServingPercent / 100);
}

std::optional<Instant>
GracefulShutdown::LatestExit() const
{
  return mStopTime.has_value()
           ? std::optional(*mStopTime + mSettings.mGrace - kExitReserve)
           : std::nullopt;
}

GracefulShutdownPhase
GracefulShutdown::Advance(std::size_t aConnections,
                          std::size_t aRequests,
                          Instant aNow)
{
  if (!mStopTime.has_value()) {
    return mPhase;
  }
  const Duration elapsed = aNow - *mStopTime;
  if (mPhase == GracefulShutdownPhase::Unadvertised &&
      elapsed >= ServingTime()) {
    mPhase = GracefulShutdownPhase::Closing;
  }
  const bool finished = mPhase == GracefulShutdownPhase::Closing &&
                        aConnections == 0 && aRequests == 0;
  if (finished || elapsed >= mSettings.mGrace - kExitReserve) {
    mPhase = GracefulShutdownPhase::Done;
  }
  return mPhase;
}

} // namespace verbenachute
