#include <LibForward/RouteStatistics.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Before anything is known an attempt is expected to take this share of the
// latency objective.
constexpr int kInitialMedianShare = 8;
constexpr int kInitialMostShare = 4;
constexpr double kMostQuantile = 0.85;
// A hedge after this multiple of that quantile costs a few attempts in 100.
constexpr double kMostFactor = 1.3;
constexpr Duration kLeastHedgeDelay = milliseconds(5);
// A hedge that starts later than this share of the objective comes too late.
constexpr double kLatestHedgeShare = 0.45;
// A peer reports at the time of a hedge at the latest; one that takes longer
// than nearly all, or than this share of the objective, is not waited for.
constexpr double kDelegationQuantile = 0.95;
constexpr double kDelegationFactor = 1.4;
constexpr double kLongestDelegationShare = 0.55;
// Beyond the hedge delay, for the way to the peer and back.
constexpr Duration kDelegationWay = milliseconds(8);

} // namespace

RouteStatistics::RouteStatistics(const Route& aRoute)
  : mObjective(aRoute.mLatencyObjective)
  , mMedian(0.5,
            std::max(aRoute.mLatencyObjective / kInitialMedianShare,
                     Duration(milliseconds(1))))
  , mMost(kMostQuantile,
          std::max(aRoute.mLatencyObjective / kInitialMostShare,
                   Duration(milliseconds(2))))
  , mDelegated(kDelegationQuantile,
               std::max(aRoute.mLatencyObjective / kInitialMostShare,
                        Duration(milliseconds(2))))
{
}

void
RouteStatistics::ObserveLatency(Duration aLatency)
{
  mMedian.Observe(aLatency);
  mMost.Observe(aLatency);
}

Duration
RouteStatistics::Usual() const
{
  const double usual =
    kMostFactor * static_cast<double>(mMost.Estimate().count());
  const double latest =
    kLatestHedgeShare * static_cast<double>(mObjective.count());
  return std::max(
    kLeastHedgeDelay,
    Duration(static_cast<Duration::rep>(std::min(usual, latest))));
}

void
RouteStatistics::ObserveDelegation(Duration aLatency)
{
  mDelegated.Observe(aLatency);
}

Duration
RouteStatistics::DelegationPatience() const
{
  const double most =
    kDelegationFactor * static_cast<double>(mDelegated.Estimate().count());
  const double longest =
    kLongestDelegationShare * static_cast<double>(mObjective.count());
  const Duration learnt(static_cast<Duration::rep>(most));
  return std::min(std::max(learnt, Usual() + kDelegationWay),
                  Duration(static_cast<Duration::rep>(longest)));
}

void
RouteStatistics::ObservePatience(Duration aPatience)
{
  mLongestPatience = std::max(mLongestPatience, aPatience);
}

Duration
RouteStatistics::SpentBefore(Duration aPatience) const
{
  return std::max(Duration(0), mLongestPatience - aPatience);
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
  // Smooth weighted round robin: each service earns its share, the one with
  // the most is taken and pays for the request.
  std::size_t best = 0;
  for (std::size_t i = 0; i < aServices.size(); ++i) {
    double& credit = mCredit[aServices[i].mService];
    credit += std::max(aServices[i].mWeight, 0.0) / total;
    if (aServices[i].mWeight > 0 &&
        (aServices[best].mWeight <= 0 ||
         credit > mCredit[aServices[best].mService])) {
      best = i;
    }
  }
  mCredit[aServices[best].mService] -= 1;
  return best;
}

} // namespace verbenachute
