#include <LibDispatch/DispatchSettings.h>

namespace verbenachute {

Duration
DispatchSettings::RunWithDrift() const
{
  return mLongestRun + mLongestRun * mDriftPercent / 100;
}

std::uint32_t
DispatchSettings::WeightOf(const CallerClass& aClass) const
{
  const auto weight = mClassWeights.find(aClass);
  return weight == mClassWeights.end() ? 1 : weight->second;
}

} // namespace verbenachute
