#include "CallCounter.h"

#include <algorithm>

namespace verbenachute::standins {

namespace {

constexpr Duration kWindow = seconds(1);

Json::Value
KindSummary(std::uint64_t aTotal, std::uint64_t aPeak, std::uint64_t aRefused)
{
  Json::Value summary;
  summary["total"] = Json::UInt64(aTotal);
  summary["peak_per_second"] = Json::UInt64(aPeak);
  summary["refused"] = Json::UInt64(aRefused);
  return summary;
}

} // namespace

void
CallCounter::SetRates(std::uint64_t aReadsPerSecond,
                      std::uint64_t aWritesPerSecond)
{
  mReads.mRate = aReadsPerSecond;
  mWrites.mRate = aWritesPerSecond;
}

CallCounter::Verdict
CallCounter::Count(const std::string& aName, CallKind aKind, Instant aNow)
{
  if (aNow - mWindowStart >= kWindow) {
    mWindowStart = aNow;
    mReads.mInWindow = 0;
    mWrites.mInWindow = 0;
  }
  Kind& kind = aKind == CallKind::Read ? mReads : mWrites;
  ++mByName[aName];
  ++kind.mTotal;
  ++kind.mInWindow;
  kind.mPeakInWindow = std::max(kind.mPeakInWindow, kind.mInWindow);
  if (kind.mRate > 0 && kind.mInWindow > kind.mRate) {
    ++kind.mRefused;
    return Verdict::OverRate;
  }
  return Verdict::WithinRate;
}

Json::Value
CallCounter::Summary() const
{
  Json::Value summary;
  summary["reads"] =
    KindSummary(mReads.mTotal, mReads.mPeakInWindow, mReads.mRefused);
  summary["writes"] =
    KindSummary(mWrites.mTotal, mWrites.mPeakInWindow, mWrites.mRefused);
  for (const auto& [name, count] : mByName) {
    summary["calls"][name] = Json::UInt64(count);
  }
  return summary;
}

} // namespace verbenachute::standins
