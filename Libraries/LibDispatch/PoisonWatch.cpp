#include <LibDispatch/PoisonWatch.h>

#include <optional>
#include <utility>

namespace verbenachute {

PoisonWatch::PoisonWatch(NodeIdentity aSelf, const DispatchSettings& aSettings)
  : mList(std::move(aSelf), aSettings)
{
}

PoisonStanding
PoisonWatch::StandingOf(const Work& aWork, Instant aNow) const
{
  return mList.StandingOf(aWork.mSubQuery.mFingerprint, aNow);
}

void
PoisonWatch::OnRefused(const Work& aWork,
                       Instant aNow,
                       DispatchActions* aActions)
{
  const std::optional<PoisonReport> report =
    mList.OnRefused(aWork.mSubQuery.mFingerprint, aNow);
  if (report) {
    aActions->emplace_back(ReportPoison{ *report });
  }
}

void
PoisonWatch::OnSent(const Work& aWork)
{
  if (aWork.mTrial == Trial::Yes) {
    mList.OnTrialStarted(aWork.mSubQuery.mFingerprint);
  }
}

void
PoisonWatch::OnReply(const Work& aWork,
                     const TargetReply& aReply,
                     Instant aNow,
                     DispatchActions* aActions)
{
  if (aWork.mTrial == Trial::No || aReply.mVerdict != TargetVerdict::Answered) {
    return;
  }
  const std::optional<PoisonReport> report =
    mList.OnTrialCompleted(aWork.mSubQuery.mFingerprint, aNow);
  if (report) {
    aActions->emplace_back(ReportPoison{ *report });
  }
}

void
PoisonWatch::OnLost(const Work& aWork,
                    const std::set<Fingerprint>& aRunning,
                    Instant aNow,
                    DispatchActions* aActions)
{
  const SubQuery& subQuery = aWork.mSubQuery;
  if (aWork.mTrial == Trial::Yes) {
    const std::optional<PoisonReport> report =
      mList.OnTrialCrashed(subQuery.mFingerprint, subQuery.mTarget, aNow);
    if (report) {
      aActions->emplace_back(ReportPoison{ *report });
    }
    return;
  }
  for (const PoisonReport& report :
       mList.OnCrash(subQuery.mTarget, aRunning, aNow)) {
    aActions->emplace_back(ReportPoison{ report });
  }
}

void
PoisonWatch::OnEnded(const Work& aWork)
{
  if (aWork.mTrial == Trial::Yes) {
    mList.OnTrialWithoutResult(aWork.mSubQuery.mFingerprint);
  }
}

} // namespace verbenachute
