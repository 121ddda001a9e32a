#include <LibObservation/EventRateLimiter.h>

#include <algorithm>

namespace verbenachute {

EventRateLimiter::Decision
EventRateLimiter::Decide(EventNumber aNumber,
                         const std::string& aPeer,
                         Instant aNow)
{
  Window& window =
    mWindows.try_emplace(PairFor(aNumber, aPeer), Window{ aNow }).first->second;
  mNextEnd = std::min(mNextEnd, window.mStart + kWindow);
  if (window.mWritten < kBurstPerWindow) {
    ++window.mWritten;
    return Decision::Write;
  }
  ++window.mSuppressed;
  return Decision::Suppress;
}

std::vector<EventRateLimiter::Suppressed>
EventRateLimiter::EndWindows(Instant aNow)
{
  std::vector<Suppressed> ended;
  if (aNow < mNextEnd) {
    return ended;
  }
  mNextEnd = Instant(Duration::max());
  for (auto it = mWindows.begin(); it != mWindows.end();) {
    const auto& [pair, window] = *it;
    if (aNow - window.mStart < kWindow) {
      mNextEnd = std::min(mNextEnd, window.mStart + kWindow);
      ++it;
      continue;
    }
    if (window.mSuppressed > 0) {
      ended.push_back(
        Suppressed{ pair.first, pair.second, window.mSuppressed });
    }
    it = mWindows.erase(it);
  }
  return ended;
}

EventRateLimiter::Pair
EventRateLimiter::PairFor(EventNumber aNumber, const std::string& aPeer) const
{
  Pair pair(aNumber, aPeer);
  if (mWindows.contains(pair) || mWindows.size() < kMaxPairs) {
    return pair;
  }
  return Pair(aNumber, "");
}

} // namespace verbenachute
