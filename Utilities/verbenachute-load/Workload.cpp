#include "Workload.h"

namespace verbenachute::load {

namespace {

constexpr double kMicrosecondsPerSecond = 1e6;
/// Road segments or pickups that the callers ask for.
constexpr std::uint64_t kDistinctQueries = 100000;

std::vector<double>
WeightsOf(const SiteFile& aSite)
{
  std::vector<double> weights;
  for (const SiteService& service : aSite.mServices) {
    weights.push_back(service.mWeight);
  }
  return weights;
}

std::discrete_distribution<std::size_t>
DistributionOf(const std::vector<double>& aWeights)
{
  return { aWeights.begin(), aWeights.end() };
}

} // namespace

Workload::Workload(const LoadSettings& aSettings)
  : mSettings(aSettings)
  , mRandom(aSettings.mSeed)
  , mGap(aSettings.mRate / kMicrosecondsPerSecond)
  , mService(DistributionOf(WeightsOf(aSettings.mSite)))
{
}

Duration
Workload::NextGap()
{
  return Duration(static_cast<Duration::rep>(mGap(mRandom)));
}

double
Workload::Share()
{
  return std::uniform_real_distribution<double>(0, 1)(mRandom);
}

PlannedRequest
Workload::NextRequest()
{
  const SiteService& service = mSettings.mSite.mServices[mService(mRandom)];
  PlannedRequest request;
  request.mRequest =
    RequestId(mSettings.mRunName + "-" + std::to_string(++mNumber));
  request.mClass = service.mClass;
  request.mService = service.mName;
  request.mCaller =
    CallerId(service.mClass.value() + "-" +
             std::to_string(mRandom(mSettings.mCallersPerClass)));
  request.mLimit = mSettings.mLimit;
  request.mDeadline = mSettings.mDeadline;
  request.mQuery = "segment " + std::to_string(mRandom(kDistinctQueries));
  if (Share() < service.mNonIdempotentShare) {
    request.mIdempotency = Idempotency::NonIdempotent;
    if (Share() < mSettings.mDuplicateShare) {
      request.mSending = Sending::Duplicate;
    }
  }
  if (Share() < mSettings.mCrashShare) {
    // The same text each time: it is one request that its caller repeats.
    request.mQuery = "crash-marker";
  }
  return request;
}

} // namespace verbenachute::load
