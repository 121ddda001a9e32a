#include <LibForward/DomainWatch.h>

namespace verbenachute {

void
DomainWatch::OnHeard(std::size_t aDomainIndex)
{
  if (aDomainIndex < kMostDomains) {
    mDomains[aDomainIndex].mUnresponsive.clear();
  }
}

void
DomainWatch::OnSilent(std::size_t aDomainIndex,
                      const TargetName& aTarget,
                      Instant aNow)
{
  if (aDomainIndex >= kMostDomains) {
    return;
  }
  State& state = mDomains[aDomainIndex];
  if (state.mUnresponsive.empty()) {
    state.mUnresponsiveSince = aNow;
  }
  if (state.mUnresponsive.size() < kMinUnresponsiveTargets) {
    state.mUnresponsive.insert(aTarget);
  }
}

bool
DomainWatch::IsUnresponsiveFor(std::size_t aDomainIndex,
                               Duration aDuration,
                               Instant aNow) const
{
  if (aDomainIndex >= kMostDomains) {
    return false;
  }
  const State& state = mDomains[aDomainIndex];
  return state.mUnresponsive.size() >= kMinUnresponsiveTargets &&
         aNow - state.mUnresponsiveSince >= aDuration;
}

bool
DomainWatch::IsDark(std::size_t aDomainIndex, Instant aNow) const
{
  return IsUnresponsiveFor(aDomainIndex, kSuspectedAfter, aNow);
}

bool
DomainWatch::IsGone(std::size_t aDomainIndex, Instant aNow) const
{
  return IsUnresponsiveFor(aDomainIndex, kGoneAfter, aNow);
}

bool
DomainWatch::IsTrialDue(std::size_t aDomainIndex, Instant aNow) const
{
  return aDomainIndex < kMostDomains &&
         aNow >= mDomains[aDomainIndex].mNextProbe;
}

void
DomainWatch::BeginTrial(std::size_t aDomainIndex, Instant aNow)
{
  if (aDomainIndex < kMostDomains) {
    mDomains[aDomainIndex].mNextProbe = aNow + kProbeInterval;
  }
}

} // namespace verbenachute
