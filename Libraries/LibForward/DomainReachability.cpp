#include <LibForward/DomainReachability.h>

namespace verbenachute {

void
DomainReachability::OnResponse(std::size_t aDomainIndex)
{
  if (aDomainIndex < kMaximumDomains) {
    mDomains[aDomainIndex].mUnresponsive.clear();
  }
}

void
DomainReachability::OnNoResponse(std::size_t aDomainIndex,
                                 const TargetName& aTarget,
                                 Instant aNow)
{
  if (aDomainIndex >= kMaximumDomains) {
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
DomainReachability::IsUnresponsiveFor(std::size_t aDomainIndex,
                                      Duration aDuration,
                                      Instant aNow) const
{
  if (aDomainIndex >= kMaximumDomains) {
    return false;
  }
  const State& state = mDomains[aDomainIndex];
  return state.mUnresponsive.size() >= kMinUnresponsiveTargets &&
         aNow - state.mUnresponsiveSince >= aDuration;
}

bool
DomainReachability::IsSuspected(std::size_t aDomainIndex, Instant aNow) const
{
  return IsUnresponsiveFor(aDomainIndex, kSuspectedAfter, aNow);
}

bool
DomainReachability::IsUnreachable(std::size_t aDomainIndex, Instant aNow) const
{
  return IsUnresponsiveFor(aDomainIndex, kUnreachableAfter, aNow);
}

bool
DomainReachability::IsProbeDue(std::size_t aDomainIndex, Instant aNow) const
{
  return aDomainIndex < kMaximumDomains &&
         aNow >= mDomains[aDomainIndex].mNextProbe;
}

void
DomainReachability::BeginProbe(std::size_t aDomainIndex, Instant aNow)
{
  if (aDomainIndex < kMaximumDomains) {
    mDomains[aDomainIndex].mNextProbe = aNow + kProbeInterval;
  }
}

} // namespace verbenachute
