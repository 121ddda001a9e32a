#include <LibForward/LoadAdmission.h>

#include <LibCore/Verify.h>

#include <algorithm>
#include <cmath>

namespace verbenachute {

namespace {

// Weight of one sample in the moving averages of work.
constexpr double kSampleWeight = 0.02;
// Routes of which the work is known, so that memory stays bounded when plans
// change often.
constexpr std::size_t kMaximumRoutes = 256;
// A report loses half of its weight in this time: queues of refused work drain,
// and a wrong estimate has to end without further reports.
constexpr Duration kReportHalfLife = milliseconds(300);
// Older reports are ignored.
constexpr Duration kReportValidity = milliseconds(1500);
// The slowest of the needed shards takes this multiple of the usual work.
constexpr double kSlowestWorkFactor = 1.3;
// Share of the wait of a priority that the next less urgent one may cause. With
// a half, the urgent kind lost more answers to queues of the long one.
constexpr double kPriorityShare = 0.35;
// Admission becomes rarer from this share of the longest wait on, and ends at
// it, so that nodes with the same reports do not switch together.
constexpr double kSoftShare = 0.7;
// After a refusal the longest wait is lower by this factor.
constexpr double kHysteresis = 0.9;
// Bounds of the time after which a refused query may be sent again. With 20 ms
// each refused query came back twice as often, for the same goodput.
constexpr Duration kShortestRetryAfter = milliseconds(80);
// Retry of a query that has missed its objective, while others are refused.
constexpr Duration kLateRetryAfter = milliseconds(300);
constexpr Duration kLongestRetryAfter = milliseconds(2000);
constexpr double kUsualSlowdownPercent = 100;

double
SlowdownOf(const ReportedLoad& aLoad)
{
  return static_cast<double>(aLoad.mSlowdownPercent.value_or(100)) /
         kUsualSlowdownPercent;
}

double
Average(double aOld, double aSample)
{
  return aOld <= 0 ? aSample : aOld + kSampleWeight * (aSample - aOld);
}

Duration
Scaled(Duration aDuration, double aFactor)
{
  return Duration(static_cast<Duration::rep>(
    static_cast<double>(aDuration.count()) * aFactor));
}

} // namespace

LoadAdmission::LoadAdmission(LoadAdmissionMode aMode)
  : mMode(aMode)
{
}

bool
LoadAdmission::IsActive() const
{
  return mMode == LoadAdmissionMode::On ||
         (mMode == LoadAdmissionMode::Automatic && mHasSlowdownReports);
}

void
LoadAdmission::OnAnswered(const std::string& aRoute,
                          const ReportedLoad& aLoad,
                          Duration aLatency)
{
  mHasSlowdownReports =
    mHasSlowdownReports || aLoad.mSlowdownPercent.has_value();
  const double rounds =
    1 + static_cast<double>(aLoad.mWaiting) / std::max(aLoad.mSlots, 1U);
  const double work = static_cast<double>(aLatency.count()) / rounds /
                      std::max(SlowdownOf(aLoad), 0.1);
  mMeanWork = Average(mMeanWork, work);
  const auto known = mWork.find(aRoute);
  if (known != mWork.end()) {
    known->second = Average(known->second, work);
    return;
  }
  if (mWork.size() >= kMaximumRoutes) {
    mWork.clear();
  }
  mWork.emplace(aRoute, work);
}

Duration
LoadAdmission::WorkOf(const std::string& aRoute) const
{
  const auto known = mWork.find(aRoute);
  return Duration(static_cast<Duration::rep>(
    known == mWork.end() ? mMeanWork : known->second));
}

bool
LoadAdmission::IsCurrent(const TargetBacklog& aTarget)
{
  return aTarget.mAge < kReportValidity;
}

Duration
LoadAdmission::WaitAt(const TargetBacklog& aTarget) const
{
  if (aTarget.mLoad.mWaiting == 0) {
    return Duration(0);
  }
  const double weight = std::exp2(-static_cast<double>(aTarget.mAge.count()) /
                                  static_cast<double>(kReportHalfLife.count()));
  const double ahead =
    weight * aTarget.mLoad.mWaiting + static_cast<double>(aTarget.mSentSince);
  return Duration(
    static_cast<Duration::rep>(ahead * mMeanWork * SlowdownOf(aTarget.mLoad) /
                               std::max(aTarget.mLoad.mSlots, 1U)));
}

Duration
LoadAdmission::Wait(const std::vector<TargetBacklog>& aTargets) const
{
  std::vector<Duration> waits;
  for (const TargetBacklog& target : aTargets) {
    if (IsCurrent(target)) {
      waits.push_back(WaitAt(target));
    }
  }
  if (waits.empty()) {
    return Duration(0);
  }
  // The lower median: a target is chosen from reports that are partly outdated,
  // so that the least loaded one is not always found.
  const auto middle =
    waits.begin() + static_cast<std::ptrdiff_t>((waits.size() - 1) / 2);
  std::nth_element(waits.begin(), middle, waits.end());
  return *middle;
}

Duration
LoadAdmission::LongestWait(const LoadQuery& aQuery) const
{
  Duration longest =
    aQuery.mTimeLeft - Scaled(WorkOf(aQuery.mRoute), kSlowestWorkFactor);
  for (const CompetingRoute& route : aQuery.mCompeting) {
    if (route.mPriority > aQuery.mPriority) {
      continue;
    }
    const Duration slack =
      route.mObjective - Scaled(WorkOf(route.mName), kSlowestWorkFactor);
    const double share = std::pow(
      kPriorityShare, static_cast<double>(aQuery.mPriority - route.mPriority));
    longest = std::min(longest, Scaled(slack, share));
  }
  return std::max(longest, Duration(0));
}

std::optional<Duration>
LoadAdmission::Refusal(const LoadQuery& aQuery, double aRandom)
{
  VERIFY(aQuery.mMinimumShards > 0);
  if (!IsActive() || aQuery.mWaits.size() < aQuery.mMinimumShards) {
    return std::nullopt;
  }
  std::vector<Duration> waits = aQuery.mWaits;
  const auto slowest =
    waits.begin() + static_cast<std::ptrdiff_t>(aQuery.mMinimumShards) - 1;
  std::nth_element(waits.begin(), slowest, waits.end());
  const bool isLate =
    aQuery.mTimeLeft <= Scaled(WorkOf(aQuery.mRoute), kSlowestWorkFactor);
  if (*slowest == Duration(0)) {
    if (isLate && mRefusedFrom.has_value()) {
      // A late answer is worth little, and the slots are about to be needed by
      // queries that can still be answered in time.
      return kLateRetryAfter;
    }
    mRefusedFrom.reset();
    return std::nullopt;
  }
  const bool wasRefused =
    mRefusedFrom.has_value() && aQuery.mPriority >= *mRefusedFrom;
  const Duration longest =
    Scaled(LongestWait(aQuery), wasRefused ? kHysteresis : 1);
  const Duration soft = Scaled(longest, kSoftShare);
  const Duration limit = soft + Scaled(longest - soft, aRandom);
  if (*slowest <= limit) {
    if (wasRefused) {
      mRefusedFrom = aQuery.mPriority + 1;
    }
    return std::nullopt;
  }
  mRefusedFrom =
    std::min(mRefusedFrom.value_or(aQuery.mPriority), aQuery.mPriority);
  return std::clamp(*slowest - soft, kShortestRetryAfter, kLongestRetryAfter);
}

} // namespace verbenachute
