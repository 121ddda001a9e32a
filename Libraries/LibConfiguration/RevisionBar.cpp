#include <LibConfiguration/RevisionBar.h>

#include <algorithm>
#include <functional>

namespace verbenachute {

RevisionBar::RevisionBar(Duration aLeaseLapse)
  : mLeaseLapse(aLeaseLapse)
{
}

void
RevisionBar::OnVoters(std::vector<Revision> aVoters,
                      std::size_t aMajority,
                      Instant aNow)
{
  if (aMajority == 0 || aVoters.size() < aMajority) {
    return;
  }
  // A revision is known to every majority if fewer voters than make one lack
  // it, hence if as many as this many know it.
  const std::size_t needed = aVoters.size() - aMajority + 1;
  std::sort(aVoters.begin(), aVoters.end(), std::greater<>());
  const Revision known = aVoters[needed - 1];
  const Revision last = mKnown.empty() ? mBarredBelow : mKnown.back().mRevision;
  if (known > last) {
    mKnown.push_back({ known, aNow });
  }
  while (!mKnown.empty() && mKnown.front().mSince + mLeaseLapse <= aNow) {
    mBarredBelow = mKnown.front().mRevision;
    mKnown.pop_front();
  }
}

} // namespace verbenachute
