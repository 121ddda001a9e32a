#include <LibConfiguration/MinimumRevision.h>

#include <algorithm>
#include <functional>

namespace verbenachute {

MinimumRevision::MinimumRevision(Duration aLeaseLapse)
  : mLeaseLapse(aLeaseLapse)
{
}

void
MinimumRevision::OnVoters(std::vector<Revision> aVoters,
                          std::size_t aMajority,
                          Instant aNow)
{
  if (aMajority == 0 || aVoters.size() < aMajority) {
    return;
  }
  // Every majority knows a revision if the voters that lack it are fewer than a
  // majority, that is, if at least this many know it.
  const std::size_t needed = aVoters.size() - aMajority + 1;
  std::sort(aVoters.begin(), aVoters.end(), std::greater<>());
  const Revision known = aVoters[needed - 1];
  const Revision last =
    mKnown.empty() ? mMinimumRevision : mKnown.back().mRevision;
  if (known > last) {
    mKnown.push_back({ known, aNow });
  }
  while (!mKnown.empty() && mKnown.front().mSince + mLeaseLapse <= aNow) {
    mMinimumRevision = mKnown.front().mRevision;
    mKnown.pop_front();
  }
}

} // namespace verbenachute
