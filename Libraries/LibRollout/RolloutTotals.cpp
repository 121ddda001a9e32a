#include <LibRollout/RolloutTotals.h>

#include <algorithm>

namespace verbenachute {

namespace {

// Bounds the memory if node names change without end.
constexpr std::size_t kMaximumNodes = 8192;

std::uint64_t
ResponsesOf(const RolloutCounts& aCounts)
{
  std::uint64_t responses = 0;
  for (const auto& [route, versions] : aCounts.mRoutes) {
    for (const VersionCounts& counts : versions) {
      responses += counts.mResponses;
    }
  }
  return responses;
}

/// Whether the first report of an incarnation was sent before the second.
bool
IsOlder(const RolloutReport& aReport, const RolloutReport& aThan)
{
  return aReport.mCounts.mSent < aThan.mCounts.mSent ||
         aReport.mPhase < aThan.mPhase ||
         (aThan.mIsStopped && !aReport.mIsStopped) ||
         ResponsesOf(aReport.mCounts) < ResponsesOf(aThan.mCounts);
}

} // namespace

void
RolloutTotals::OnReport(const RolloutReport& aReport)
{
  const auto found = mLatest.find(aReport.mSender.mName);
  if (found == mLatest.end()) {
    if (mLatest.size() < kMaximumNodes) {
      mLatest.emplace(aReport.mSender.mName, aReport);
    }
    return;
  }
  RolloutReport& known = found->second;
  const Incarnation incarnation = aReport.mSender.mIncarnation;
  if (incarnation < known.mSender.mIncarnation) {
    return;
  }
  if (incarnation > known.mSender.mIncarnation) {
    mEnded.Add(known.mCounts);
    known = aReport;
    return;
  }
  if (!IsOlder(aReport, known)) {
    known = aReport;
  }
}

RolloutCounts
RolloutTotals::Sum() const
{
  RolloutCounts sum = mEnded;
  for (const auto& [node, report] : mLatest) {
    sum.Add(report.mCounts);
  }
  return sum;
}

bool
RolloutTotals::HaveLeftOldVersion(const std::vector<NodeName>& aNodes) const
{
  return std::all_of(aNodes.begin(), aNodes.end(), [&](const NodeName& aNode) {
    const auto found = mLatest.find(aNode);
    return found != mLatest.end() && !found->second.mIsStopped &&
           found->second.mPhase == RolloutPhase::Switching &&
           found->second.mRunningOld == 0;
  });
}

} // namespace verbenachute
