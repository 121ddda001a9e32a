#include <LibForward/RouteStatistics.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Before the first sample the estimates are the latency objective divided by
// these.
constexpr int kInitialMedianDivisor = 8;
constexpr int kInitialTailDivisor = 4;
constexpr double kTailQuantile = 0.85;
// A hedge after this multiple of the quantile costs a few additional attempts
// in 100.
constexpr double kTailFactor = 1.3;
constexpr Duration kMinHedgeDelay = milliseconds(5);
// A hedge that starts later than this share of the latency objective does not
// finish in time.
constexpr double kMaxHedgeDelayShare = 0.45;
// A peer sends its first report no later than the hedge delay. One that takes
// longer than nearly all, or than this share of the latency objective, is not
// waited for.
constexpr double kDelegationQuantile = 0.95;
constexpr double kDelegationFactor = 1.4;
constexpr double kMaxDelegationShare = 0.55;
// Added to the hedge delay for the way to the peer and back.
constexpr Duration kDelegationRoundTrip = milliseconds(8);

} // namespace

RouteStatistics::RouteStatistics(const Route& aRoute)
  : mObjective(aRoute.mLatencyObjective)
  , mMedian(0.5,
            std::max(aRoute.mLatencyObjective / kInitialMedianDivisor,
                     Duration(milliseconds(1))))
  , mTail(kTailQuantile,
          std::max(aRoute.mLatencyObjective / kInitialTailDivisor,
                   Duration(milliseconds(2))))
  , mDelegation(kDelegationQuantile,
                std::max(aRoute.mLatencyObjective / kInitialTailDivisor,
                         Duration(milliseconds(2))))
{
}

void
RouteStatistics::ObserveLatency(Duration aLatency)
{
  mMedian.Observe(aLatency);
  mTail.Observe(aLatency);
}

Duration
RouteStatistics::TailLatency() const
{
  const double tail =
    kTailFactor * static_cast<double>(mTail.Estimate().count());
  const double limit =
    kMaxHedgeDelayShare * static_cast<double>(mObjective.count());
  return std::max(kMinHedgeDelay,
                  Duration(static_cast<Duration::rep>(std::min(tail, limit))));
}

void
RouteStatistics::ObserveDelegation(Duration aLatency)
{
  mDelegation.Observe(aLatency);
}

Duration
RouteStatistics::DelegationTimeout() const
{
  const double scaled =
    kDelegationFactor * static_cast<double>(mDelegation.Estimate().count());
  const double maximum =
    kMaxDelegationShare * static_cast<double>(mObjective.count());
  const Duration learned(static_cast<Duration::rep>(scaled));
  return std::min(std::max(learned, TailLatency() + kDelegationRoundTrip),
                  Duration(static_cast<Duration::rep>(maximum)));
}

void
RouteStatistics::ObserveTimeLimit(Duration aTimeLimit)
{
  mLongestTimeLimit = std::max(mLongestTimeLimit, aTimeLimit);
}

Duration
RouteStatistics::TimeSpentBefore(Duration aTimeLimit) const
{
  return std::max(Duration(0), mLongestTimeLimit - aTimeLimit);
}

std::size_t
RouteStatistics::NextService(const std::vector<WeightedService>& aServices)
{
  double total = 0;
  for (const WeightedService& service : aServices) {
    total += std::max(service.mWeight, 0.0);
  }
  if (aServices.size() <= 1 || total <= 0) {
    return 0;
  }
  // Smooth weighted round robin: each service earns its share, and the one with
  // the most credit is chosen and pays for the request.
  std::size_t best = 0;
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    double& serviceCredit = mCredits[aServices[i].mService];
    serviceCredit += std::max(aServices[i].mWeight, 0.0) / total;
    if (aServices[i].mWeight > 0 &&
        (aServices[best].mWeight <= 0 ||
         serviceCredit > mCredits[aServices[best].mService])) {
      best = i;
    }
  }
  mCredits[aServices[best].mService] -= 1;
  return best;
}

} // namespace verbenachute
