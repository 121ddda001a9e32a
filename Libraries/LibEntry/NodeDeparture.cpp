#include <LibEntry/NodeDeparture.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Some callers keep an address for three times as long as they are told.
constexpr int kValidityFactor = 3;
constexpr Duration kLastRequests = milliseconds(300);
// Latest start of the closing, as a share of the grace time in percent.
constexpr int kLatestClosingPercent = 65;
// The process ends this long before it would be ended by force.
constexpr Duration kReserve = milliseconds(350);

} // namespace

NodeDeparture::NodeDeparture(const Settings& aSettings)
  : mSettings(aSettings)
{
}

void
NodeDeparture::OnStop(Instant aNow)
{
  if (mPhase == DeparturePhase::Serving) {
    mPhase = DeparturePhase::Announced;
    mStopped = aNow;
  }
}

Duration
NodeDeparture::ServingTime() const
{
  return std::min(kValidityFactor * mSettings.mAddressValidity + kLastRequests,
                  mSettings.mGrace * kLatestClosingPercent / 100);
}

DeparturePhase
NodeDeparture::Advance(std::size_t aConnections,
                       std::size_t aRequests,
                       Instant aNow)
{
  if (!mStopped.has_value()) {
    return mPhase;
  }
  const Duration since = aNow - *mStopped;
  if (mPhase == DeparturePhase::Announced && since >= ServingTime()) {
    mPhase = DeparturePhase::Closing;
  }
  const bool finished =
    mPhase == DeparturePhase::Closing && aConnections == 0 && aRequests == 0;
  if (finished || since >= mSettings.mGrace - kReserve) {
    mPhase = DeparturePhase::Done;
  }
  return mPhase;
}

} // namespace verbenachute
