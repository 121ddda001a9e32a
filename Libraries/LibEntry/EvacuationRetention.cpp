#include <LibEntry/EvacuationRetention.h>

#include <LibEntry/DueTimes.h>

namespace verbenachute {

void
EvacuationRetention::OnLost(const FailureDomain& aDomain, Instant aNow)
{
  mDueTimes[aDomain] = aNow + kRetained;
}

void
EvacuationRetention::OnWritten(const FailureDomain& aDomain)
{
  mDueTimes.erase(aDomain);
}

std::vector<FailureDomain>
EvacuationRetention::TakeDue(Instant aNow)
{
  return TakeDueKeys(&mDueTimes, aNow);
}

} // namespace verbenachute
