#include <LibQuery/QueryEngineBuilder.h>

#include <algorithm>
#include <utility>

namespace verbenachute {

namespace {

constexpr std::int64_t kWholeAttempt = 1000;

// The first setting that is out of range, or null.
const char*
FaultOf(const QueryEngineSettings& aSettings)
{
  if (aSettings.mAdmission.mMaximumRunning == 0) {
    return "the number of running queries must be above 0";
  }
  if (!(aSettings.mHedgeQuantile > 0 && aSettings.mHedgeQuantile < 1)) {
    return "the hedge quantile must lie between 0 and 1";
  }
  if (aSettings.mHedge.mMinimumDelay <= Duration(0) ||
      aSettings.mHedge.mFixedDelay <= Duration(0)) {
    return "the hedge delays must be above 0";
  }
  const RetryBudgetSettings& budget = aSettings.mBudget;
  if (budget.mRefill < 0 || budget.mRefill > kWholeAttempt) {
    return "the budget's refill must lie between 0 and 1000 thousandths";
  }
  if (budget.mInitial < 0 || budget.mInitial > budget.mMaximum ||
      budget.mReserve < 0 || budget.mOverloadDrain < 0) {
    return "the budget's initial value must lie between 0 and its maximum, and "
           "its reserve and drain must not be negative";
  }
  const QueryTimings& timings = aSettings.mTimings;
  if (timings.mCompletionMargin < Duration(0) ||
      timings.mAnswerMargin < Duration(0) ||
      timings.mRetryBackoff <= Duration(0)) {
    return "margins must not be negative, and the backoff must be above 0";
  }
  return nullptr;
}

} // namespace

QueryEngineBuilder&
QueryEngineBuilder::Limits(std::uint32_t aRunning, std::uint32_t aQueued)
{
  mSettings.mAdmission.mMaximumRunning = aRunning;
  mSettings.mAdmission.mMaximumQueued = aQueued;
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::Class(ClassLimits aLimits)
{
  std::erase_if(mSettings.mAdmission.mClasses,
                [&aLimits](const ClassLimits& aKnown) {
                  return aKnown.mClass == aLimits.mClass;
                });
  mSettings.mAdmission.mClasses.push_back(std::move(aLimits));
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::OtherClasses(ClassLimits aLimits)
{
  mSettings.mAdmission.mOther = std::move(aLimits);
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::Hedge(HedgeSettings aHedge, double aQuantile)
{
  mSettings.mHedge = aHedge;
  mSettings.mHedgeQuantile = aQuantile;
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::Budget(RetryBudgetSettings aBudget)
{
  mSettings.mBudget = aBudget;
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::Timings(QueryTimings aTimings)
{
  mSettings.mTimings = aTimings;
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::Seed(std::uint64_t aSeed)
{
  mSettings.mSeed = aSeed;
  return *this;
}

QueryEngineBuilder&
QueryEngineBuilder::FirstIdentifiers(QueryId aQuery, AttemptId aAttempt)
{
  mSettings.mFirstQuery = aQuery;
  mSettings.mFirstAttempt = aAttempt;
  return *this;
}

Result<std::unique_ptr<QueryEngine>>
QueryEngineBuilder::Build() const
{
  const char* fault = FaultOf(mSettings);
  if (fault != nullptr) {
    return Error{ Step::Settings, ErrorCode::InvalidInput, "", fault };
  }
  return std::make_unique<QueryEngine>(mSettings);
}

} // namespace verbenachute
