#include <LibEntry/EvacuationRetention.h>

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
  std::vector<FailureDomain> due;
  for (auto entry = mDueTimes.begin(); entry != mDueTimes.end();) {
    if (entry->second > aNow) {
      ++entry;
      continue;
    }
    due.push_back(entry->first);
    entry = mDueTimes.erase(entry);
  }
  return due;
}

} // namespace verbenachute
